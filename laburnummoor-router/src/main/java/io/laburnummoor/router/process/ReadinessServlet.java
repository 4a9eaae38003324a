package io.laburnummoor.router.process;

import java.io.IOException;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

/** {@code GET /ready}: 200 while the load balancer may send requests to this router, otherwise 503. */
public final class ReadinessServlet extends HttpServlet {
    private static final long serialVersionUID = 1L;

    private final transient ReadinessCheck ready;

    public ReadinessServlet(ReadinessCheck ready) {
        this.ready = ready;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response) throws IOException {
        boolean isReady = ready.isReady();
        response.setStatus(isReady ? HttpServletResponse.SC_OK : HttpServletResponse.SC_SERVICE_UNAVAILABLE);
        response.setContentType("text/plain");
        response.getWriter().println(isReady ? "ready" : "not ready");
    }
}

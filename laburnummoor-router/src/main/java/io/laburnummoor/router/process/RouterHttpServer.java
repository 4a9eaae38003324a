package io.laburnummoor.router.process;

import java.util.List;

import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.request.logging.RequestLogFactory;
import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Service;
import io.prometheus.metrics.exporter.servlet.jakarta.PrometheusMetricsServlet;
import org.eclipse.jetty.server.RequestLog;
import org.eclipse.jetty.server.Server;
import org.jspecify.annotations.Nullable;

/** The HTTP server of a router, with one port for callers and one for metrics, health checks and readiness. */
public final class RouterHttpServer implements Service {
    private final RouterSettings settings;
    private final RouterMetrics metrics;
    private final List<Object> resources;
    private final ReadinessCheck readiness;
    private @Nullable Server server;

    /** Creates a server that serves the given Jersey resources on the port for callers. */
    public RouterHttpServer(
            RouterSettings settings, RouterMetrics metrics, ReadinessCheck readiness, List<Object> resources) {
        this.settings = settings;
        this.metrics = metrics;
        this.readiness = readiness;
        this.resources = List.copyOf(resources);
    }

    @Override
    public void start() {
        Environment environment = new Environment("laburnummoor-router");
        environment.jersey().register(new ProblemMapper());
        resources.forEach(environment.jersey()::register);
        environment
                .admin()
                .addServlet("prometheus", new PrometheusMetricsServlet(metrics.registry()))
                .addMapping("/metrics");
        environment
                .admin()
                .addServlet("readiness", new ReadinessServlet(readiness))
                .addMapping("/ready");
        environment.healthChecks().register("configuration", readiness);
        DefaultServerFactory factory = new DefaultServerFactory();
        factory.setRegisterDefaultExceptionMappers(false);
        factory.setRequestLogFactory(new NoRequestLog());
        factory.setApplicationConnectors(List.of(connector(settings.httpPort())));
        factory.setAdminConnectors(List.of(connector(settings.adminPort())));
        Server built = factory.build(environment);
        server = built;
        try {
            built.start();
        } catch (Exception cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "cannot start the HTTP server: " + cause.getMessage(), cause);
        }
    }

    @Override
    public void stop() {
        Server running = server;
        if (running == null) {
            return;
        }
        try {
            running.stop();
        } catch (Exception cause) {
            throw new LaburnummoorException(ErrorCode.INTERNAL, "cannot stop the HTTP server", cause);
        }
    }

    /** Disables the plain-text access log; failed requests are logged as JSON where they fail. */
    private static final class NoRequestLog implements RequestLogFactory<RequestLog> {
        @Override
        public boolean isEnabled() {
            return false;
        }

        @Override
        public RequestLog build(String name) {
            return (request, response) -> {};
        }
    }

    private HttpConnectorFactory connector(int port) {
        HttpConnectorFactory connector = new HttpConnectorFactory();
        connector.setBindHost(settings.host());
        connector.setPort(port);
        return connector;
    }
}

package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A client with one connection, which it keeps open while the gateway does; it does not retry. */
final class Caller implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";

    private final Case run;
    private final Gateway gateway;
    private Socket socket;
    private BufferedInputStream in;

    Caller(Case run, Gateway gateway) {
        this.run = run;
        this.gateway = gateway;
    }

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends a request and reads its response; throws if the connection ends without one. */
    Http send(String method, String path, String id, long deadlineMillis, String moreHeaders, String body)
            throws IOException {
        if (socket == null) {
            socket = new Socket(gateway.host, gateway.callerPort);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout((int) deadlineMillis + 2_000);
        String length = method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Laburnummoor-Attempt-Id: " + id
                + "\r\nX-Laburnummoor-Deadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: " + KEY + "\r\n"
                + moreHeaders + length + "\r\n";
        run.line("sent " + id + " " + method + " " + path);
        try {
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            Http response = Http.readResponse(in);
            run.line("answered " + id + " " + response.second() + ", " + response.body.length + " bytes"
                    + (response.complete ? "" : ", broken off"));
            if (!response.complete || response.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return response;
        } catch (IOException broken) {
            run.line("not answered " + id + ": " + broken);
            close();
            throw broken;
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            Threads.closeQuietly(socket);
            socket = null;
        }
    }
}

package review2;

import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** An engine as a process of its own, which a case can kill. Arguments: its id and its port. */
final class EngineProcess {
    private EngineProcess() {}

    public static void main(String[] arguments) throws Exception {
        String id = arguments[0];
        try (ServerSocket listener =
                new ServerSocket(Integer.parseInt(arguments[1]), 200, InetAddress.getByName("127.0.0.1"))) {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("connection", () -> serve(id, socket));
            }
        }
    }

    private static void serve(String id, Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            for (Http request = Http.readRequest(in); request != null; request = open ? Http.readRequest(in) : null) {
                open = Engine.answer(null, id, request, out, CaseKilledEngine::stream);
            }
        }
    }
}

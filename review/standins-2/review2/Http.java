package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A message of HTTP/1.1 as it was read from a socket. */
final class Http {
    /** First line of the message. */
    final String start;

    /** Header values by lower-case name. */
    final Map<String, String> headers;

    byte[] body = {};
    /** Whether the body has arrived to its end as its framing tells it. */
    boolean complete;

    private Http(String start, Map<String, String> headers) {
        this.start = start;
        this.headers = headers;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the second word of the first line: the target of a request, the status of a response. */
    String second() {
        String[] words = start.split(" ");
        return words.length > 1 ? words[1] : "";
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads a request, or returns null at the end of the connection. */
    static Http readRequest(BufferedInputStream in) throws IOException {
        Http message = readHead(in);
        if (message != null) {
            message.readBody(in, false);
        }
        return message;
    }

    /** Reads a final response; one that breaks off is returned with what has arrived and is not complete. */
    static Http readResponse(BufferedInputStream in) throws IOException {
        Http message = readHead(in);
        while (message != null && message.second().startsWith("1")) {
            message = readHead(in);
        }
        if (message == null) {
            throw new EOFException("connection ended without a response");
        }
        message.readBody(in, true);
        return message;
    }

    private static Http readHead(InputStream in) throws IOException {
        String start = readLine(in);
        while (start != null && start.isEmpty()) {
            start = readLine(in);
        }
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("connection ended in a head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Http(start, headers);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                return null;
            }
            if (each != '\r') {
                line.append((char) each);
            }
        }
        return line.toString();
    }

    private void readBody(InputStream in, boolean isResponse) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
                complete = readChunks(in, out);
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(header("content-length"));
                complete = copy(in, out, length);
            } else if (isResponse) {
                copy(in, out, Integer.MAX_VALUE);
                complete = true;
            } else {
                complete = true;
            }
        } catch (IOException broken) {
            complete = false;
        }
        body = out.toByteArray();
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream out) throws IOException {
        while (true) {
            String line = readLine(in);
            if (line == null) {
                return false;
            }
            int length = Integer.parseInt(line.trim(), 16);
            if (length == 0) {
                return "".equals(readLine(in));
            }
            if (!copy(in, out, length) || readLine(in) == null) {
                return false;
            }
        }
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] buffer = new byte[8_192];
        int left = length;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                return false;
            }
            out.write(buffer, 0, read);
            left -= read;
        }
        return true;
    }
}

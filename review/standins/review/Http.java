package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** A head: its first line and its headers by lower-case name. */
    record Head(String first, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                throw new EOFException(bytes.size() == 0 ? "closed" : "closed inside a line");
            }
            if (each != '\r') {
                bytes.write(each);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static Head head(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String each = line(in); !each.isEmpty(); each = line(in)) {
            int colon = each.indexOf(':');
            headers.put(
                    each.substring(0, colon).toLowerCase(Locale.ROOT),
                    each.substring(colon + 1).trim());
        }
        return new Head(first, headers);
    }

    /** Reads a body that has a length or comes in chunks; throws EOFException if it ends early. */
    static byte[] body(InputStream in, Head head) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                all.write(exactly(in, size));
                line(in);
                if (size == 0) {
                    return all.toByteArray();
                }
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("closed after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }
}

package kit2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. Names of header fields are in lower case. */
public final class Http {
    private Http() {}

    /** Start line, header fields and body of a message. */
    public static final class Message {
        public String start = "";
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];

        public String header(String name) {
            return headers.get(name.toLowerCase());
        }

        public String method() {
            return start.split(" ")[0];
        }

        public String target() {
            return start.split(" ")[1];
        }

        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    public static Message head(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message m = new Message();
        m.start = line;
        while (true) {
            line = line(in);
            if (line == null) throw new EOFException("the head is not complete");
            if (line.isEmpty()) return m;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no header field: " + line);
            m.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body that the fields of [m] announce. */
    public static void body(Message m, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(m.header("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (byte[] c = chunk(in); c.length > 0; c = chunk(in)) out.write(c);
            m.body = out.toByteArray();
        } else if (m.header("content-length") != null) {
            m.body = exactly(in, Integer.parseInt(m.header("content-length")));
        }
    }

    public static Message message(InputStream in) throws IOException {
        Message m = head(in);
        if (m != null) body(m, in);
        return m;
    }

    /** One chunk; empty for the last one, whose trailer is read too. */
    public static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("the chunks are not complete");
        byte[] data = exactly(in, Integer.parseInt(size.split(";")[0].trim(), 16));
        String end = line(in);
        if (end == null || !end.isEmpty()) throw new EOFException("the chunk is not complete");
        return data;
    }

    private static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] data = in.readNBytes(n);
        if (data.length < n) throw new EOFException("the body is not complete");
        return data;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("the line is not complete");
            }
            if (b == '\n') {
                String s = out.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            out.write(b);
        }
    }
}

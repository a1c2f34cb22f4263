package review.kit;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on blocking sockets, as far as the stand-ins and the clients of the cases need it. */
public final class Http {
    private Http() {}

    /** A request or a response; header names are in lower case. */
    public static final class Message {
        public String startLine = "";
        public final Map<String, String> headers = new LinkedHashMap<>();
        public byte[] body = new byte[0];

        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public String method() {
            return startLine.split(" ")[0];
        }

        public String target() {
            return startLine.split(" ")[1];
        }

        public String path() {
            return target().split("\\?")[0];
        }

        public int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request of a connection; the connection closes if it throws. */
    public interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** The server's side of a connection. */
    public static final class Connection {
        public final Socket socket;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        /** Sends a complete response with a length. */
        public void respond(int status, Map<String, String> headers, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            write(all.toByteArray());
        }

        /** Starts a chunked response. */
        public void startChunked(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Sends one chunk; an empty one ends the response. */
        public void chunk(byte[] part) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((Integer.toHexString(part.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            all.write(part);
            all.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            write(all.toByteArray());
        }

        public void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    /** A server with one thread for each connection. */
    public static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean isClosed;

        public Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
        }

        public String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        public int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (!isClosed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    if (isClosed) return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Connection connection = new Connection(socket);
                InputStream in = new Buffered(socket.getInputStream());
                while (!isClosed) {
                    Message request = read(in, false, -1);
                    if (request == null) return;
                    handler.handle(request, connection);
                }
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                open.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            isClosed = true;
            listener.close();
            for (Socket socket : open) socket.close();
        }
    }

    /** What a client saw of one request. */
    public static final class Result {
        /** Status, or 0 if the connection ended before the head of an answer. */
        public int status;
        public Message answer;
        /** True if the answer came whole. */
        public boolean isComplete;
        public String end = "";
        public long sentAtMs;
        public long endedAtMs;
        public long bytes;
    }

    /** A kept connection of a client. */
    public static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final Buffered in;
        private final int bytesPerS;

        /** Opens a connection whose answers are read at {@code bytesPerS}; 0 reads at once. */
        public Client(String address, int receiveBuffer, int bytesPerS) throws IOException {
            if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
            socket.setTcpNoDelay(true);
            String[] parts = address.split(":");
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            in = new Buffered(socket.getInputStream());
            this.bytesPerS = bytesPerS;
        }

        public Client(String address) throws IOException {
            this(address, 0, 0);
        }

        /** Sends a request and reads its answer. */
        public Result call(String method, String target, Map<String, String> headers, byte[] body,
                int timeoutMs) {
            Result result = new Result();
            result.sentAtMs = System.currentTimeMillis();
            try {
                socket.setSoTimeout(timeoutMs);
                StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
                headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
                if (body.length > 0) head.append("Content-Length: " + body.length + "\r\n");
                head.append("\r\n");
                OutputStream out = socket.getOutputStream();
                out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
                Message answer = readHead(in);
                if (answer == null) throw new EOFException("closed without an answer");
                result.answer = answer;
                result.status = answer.status();
                ByteArrayOutputStream read = new ByteArrayOutputStream();
                try {
                    readBody(in, answer, true, read, bytesPerS);
                } finally {
                    result.bytes = read.size();
                    answer.body = read.toByteArray();
                }
                result.isComplete = true;
                result.end = "complete";
            } catch (IOException e) {
                result.end = e.getClass().getSimpleName() + ": " + e.getMessage();
            }
            result.endedAtMs = System.currentTimeMillis();
            return result;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Message read(InputStream in, boolean isResponse, int bytesPerS) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        readBody(in, message, isResponse, body, bytesPerS);
        message.body = body.toByteArray();
        return message;
    }

    private static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (true) {
            String header = readLine(in);
            if (header == null) throw new EOFException("closed inside a head");
            if (header.isEmpty()) return message;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
    }

    private static void readBody(InputStream in, Message message, boolean isResponse,
            ByteArrayOutputStream body, int bytesPerS) throws IOException {
        String length = message.header("content-length");
        String encoding = message.header("transfer-encoding");
        if (encoding != null && encoding.contains("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) throw new EOFException("closed inside a chunked body");
                int count = Integer.parseInt(size.trim(), 16);
                readBytes(in, count, body, bytesPerS);
                if (readLine(in) == null) throw new EOFException("closed inside a chunked body");
                if (count == 0) return;
            }
        } else if (length != null) {
            readBytes(in, Integer.parseInt(length), body, bytesPerS);
        } else if (isResponse) {
            in.transferTo(body);
        }
    }

    private static void readBytes(InputStream in, int count, ByteArrayOutputStream to,
            int bytesPerS) throws IOException {
        byte[] buffer = new byte[16_384];
        int left = count;
        long startedAt = System.nanoTime();
        long taken = 0;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) throw new EOFException("closed " + left + " of " + count
                    + " bytes before the end of the body");
            to.write(buffer, 0, read);
            left -= read;
            taken += read;
            if (bytesPerS > 0) {
                long dueMs = taken * 1000 / bytesPerS;
                long passedMs = (System.nanoTime() - startedAt) / 1_000_000;
                if (dueMs > passedMs) sleep(dueMs - passedMs);
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** A small read buffer, so that a slow reader does not read ahead. */
    static final class Buffered extends java.io.BufferedInputStream {
        Buffered(InputStream in) {
            super(in, 8_192);
        }
    }

    /** Runs {@code action} on a thread that does not keep the process alive. */
    public static Thread daemon(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> headers = new LinkedHashMap<>();
        List<String> all = new ArrayList<>(List.of(namesAndValues));
        for (int i = 0; i < all.size(); i += 2) headers.put(all.get(i), all.get(i + 1));
        return headers;
    }

    static RuntimeException unchecked(IOException e) {
        return new UncheckedIOException(e);
    }
}

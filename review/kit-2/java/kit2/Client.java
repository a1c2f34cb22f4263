package kit2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one kept connection to a router. */
public final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());
    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    public Client(String ip, int timeoutMs) throws IOException {
        socket.connect(new InetSocketAddress(ip, 8227), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public static String newId() {
        return String.format("%016x", IDS.addAndGet(0x9e3779b97f4a7c15L));
    }

    /** Sends a request with attempt id [id]. */
    public void send(String id, String method, String path, long deadlineMs, String extra, byte[] body) throws IOException {
        Server.send(socket, method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nAttempt-Id: " + id
            + "\r\nRequest-Deadline: " + deadlineMs + "\r\nApi-Key: " + Site.KEY + "\r\n" + extra
            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n", body);
    }

    /** Reads an answer; null if the connection ends before its first byte. */
    public Http.Message answer() throws IOException {
        return Http.message(in);
    }

    public BufferedInputStream in() {
        return in;
    }

    public Socket socket() {
        return socket;
    }

    @Override
    public void close() {
        Server.close(socket);
    }
}

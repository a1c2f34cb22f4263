package kit2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening HTTP/1.1 server with a thread for each connection. */
public abstract class Server {
    private ServerSocket listener;
    protected final Set<Socket> open = ConcurrentHashMap.newKeySet();
    public final String host;
    public int port;

    protected Server(String host, int port) {
        this.host = host;
        this.port = port;
    }

    public String address() {
        return host + ":" + port;
    }

    public void start() throws IOException {
        ServerSocket own = new ServerSocket();
        own.setReuseAddress(true);
        own.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        port = own.getLocalPort();
        listener = own;
        daemon("accept " + address(), () -> {
            while (!own.isClosed()) {
                Socket s;
                try {
                    s = own.accept();
                } catch (IOException e) {
                    return;
                }
                open.add(s);
                daemon("connection " + address(), () -> serve(s));
            }
        });
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        close(listener);
        open.forEach(Server::close);
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(s.getInputStream());
            for (Http.Message m = Http.head(in); m != null; m = Http.head(in)) {
                Http.body(m, in);
                if (!handle(m, s)) return;
            }
        } catch (IOException | RuntimeException e) {
            // The connection has ended, which its peer sees.
            if (e instanceof RuntimeException) e.printStackTrace();
        } finally {
            open.remove(s);
        }
    }

    /** Answers [m] on [s]; false if the connection is to be closed. */
    protected abstract boolean handle(Http.Message m, Socket s) throws IOException;

    public static void send(Socket s, String head, byte[] body) throws IOException {
        byte[] h = head.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        byte[] all = new byte[h.length + body.length];
        System.arraycopy(h, 0, all, 0, h.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        s.getOutputStream().write(all);
        s.getOutputStream().flush();
    }

    public static void close(java.io.Closeable c) {
        try {
            if (c != null) c.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    public static Thread daemon(String name, Runnable action) {
        Thread t = new Thread(action, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static long now() {
        return System.nanoTime() / 1_000_000;
    }
}

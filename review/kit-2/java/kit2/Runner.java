package kit2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** A runner of a plain service, which does its work in [workMs] and then answers. */
public class Runner extends Server {
    private static final AtomicLong SEALS = new AtomicLong(1000);
    protected final Site site;
    public final String id;
    public final String service;
    public final long born = System.currentTimeMillis();
    public volatile long workMs = 20;

    /** Attempt ids that this runner has begun to work on. */
    public final List<String> ran = new CopyOnWriteArrayList<>();
    private long beats;

    public Runner(Site site, String host, String id, String service) {
        super(host, 0);
        this.site = site;
        this.id = id;
        this.service = service;
    }

    /** The entry in the store; [state] is ready or draining. */
    public void register(String state) {
        site.store.put("servers/" + id, "{\"service\":" + Json.quote(service) + ",\"address\":\"" + address()
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
            + "\",\"coldRemainingMs\":0,\"sequence\":" + (++beats) + ",\"born\":" + born + "}");
        site.note("runner " + id + " at " + address() + " registers as " + state);
    }

    @Override
    protected boolean handle(Http.Message m, Socket s) throws IOException {
        String expected = m.header("expect-instance");
        if (expected != null && !expected.equals(id)) {
            send(s, "HTTP/1.1 421 Misdirected Request\r\nInstance: " + id + "\r\n" + echo(m)
                + "Content-Length: 0\r\n\r\n", new byte[0]);
            return true;
        }
        if (m.target().equals("/health")) {
            send(s, "HTTP/1.1 200 OK\r\nInstance: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            return true;
        }
        String attempt = m.header("attempt-id");
        ran.add(attempt);
        site.note("runner " + id + " runs " + attempt + " " + m.start);
        return run(m, s);
    }

    /** Works on [m] and answers it. */
    protected boolean run(Http.Message m, Socket s) throws IOException {
        sleep(workMs);
        answer(m, s, 200, "done " + m.header("attempt-id"));
        return true;
    }

    protected void answer(Http.Message m, Socket s, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        send(s, "HTTP/1.1 " + status + " X\r\n" + echo(m) + "Response-Seal: " + seal() + "\r\nContent-Length: "
            + body.length + "\r\n\r\n", body);
    }

    protected static String echo(Http.Message m) {
        return m.header("attempt-id") == null ? "" : "Attempt-Id: " + m.header("attempt-id") + "\r\n";
    }

    protected static String seal() {
        return Long.toHexString(SEALS.incrementAndGet()) + ".07.5a2.600.0.c9f2a4d1";
    }
}

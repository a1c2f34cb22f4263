package kit2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A model runner that holds layers as it is ordered, and serves streams on its own. Each event
 * holds one token and has the number of the token as its id.
 */
public class Engine extends Runner {
    public static final int LAYERS = 4;
    public volatile int from;
    public volatile int to;
    public volatile int events = 40;
    public volatile int gapMs = 30;
    private volatile long sequence;
    private volatile long fence;
    private volatile boolean isBusy;
    private volatile int running;

    public Engine(Site site, String host, String id) {
        super(site, host, id, "model");
    }

    @Override
    public void register(String state) {
        site.store.put("servers/" + id, "{\"service\":\"model\",\"address\":\"" + address()
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":134,\"state\":\"" + state
            + "\",\"coldRemainingMs\":0,\"kind\":\"big\",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + layers() + "\"sequence\":" + System.nanoTime() / 1_000_000 + ",\"born\":" + born + "}");
    }

    private String layers() {
        return to > from ? "\"layers\":[{\"from\":" + from + ",\"to\":" + to + ",\"version\":1}]," : "";
    }

    @Override
    protected boolean handle(Http.Message m, Socket s) throws IOException {
        String path = m.target().split("\\?")[0];
        String expected = m.header("expect-instance");
        boolean isOther = expected != null && !expected.equals(id);
        if (path.equals("/v1/report") && !isOther) {
            return json(s, 200, "{\"stage\":\"both\",\"models\":[],\"busy\":" + isBusy + ",\"sequence\":" + sequence
                + ",\"waiting\":0,\"running\":" + running + ",\"kvUsed\":0,\"kvTotal\":4000000,\"handles\":0,\"pace\":1.0,"
                + layers() + "\"born\":" + born + "}");
        }
        if (path.equals("/v1/order") && !isOther) return order(Json.object(new String(m.body, StandardCharsets.UTF_8)), s);
        return super.handle(m, s);
    }

    private synchronized boolean order(Map<String, Object> o, Socket s) throws IOException {
        Number token = (Number) o.get("fencingToken");
        Number expected = (Number) o.get("expected");
        site.note("runner " + id + " gets the order " + o);
        if (token != null && token.longValue() < fence) return json(s, 412, "{}");
        if (token != null) fence = token.longValue();
        if (isBusy || expected != null && expected.longValue() != sequence) return json(s, 409, "{}");
        int newFrom = ((Number) o.get("from")).intValue();
        int newTo = ((Number) o.get("to")).intValue();
        if (newFrom == from && newTo == to) return json(s, 200, "{}");
        sequence++;
        isBusy = true;
        daemon("load", () -> {
            sleep(300);
            from = newFrom;
            to = newTo;
            isBusy = false;
            register("ready");
        });
        return json(s, 202, "{}");
    }

    private boolean json(Socket s, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        send(s, "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
            + "\r\n\r\n", body);
        return true;
    }

    @Override
    protected boolean run(Http.Message m, Socket s) throws IOException {
        running++;
        try {
            return stream(m, s);
        } finally {
            running--;
        }
    }

    protected void streamHead(Http.Message m, Socket s) throws IOException {
        send(s, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo(m) + "Response-Seal: " + seal()
            + "\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
    }

    protected boolean stream(Http.Message m, Socket s) throws IOException {
        int first = m.header("last-event-id") == null ? 1 : Integer.parseInt(m.header("last-event-id")) + 1;
        streamHead(m, s);
        for (int i = first; i <= events; i++) {
            sleep(gapMs);
            byte[] e = ("id: " + i + "\ndata: token-" + i + "\n\n").getBytes(StandardCharsets.UTF_8);
            send(s, Integer.toHexString(e.length) + "\r\n", concat(e));
        }
        send(s, "0\r\n\r\n", new byte[0]);
        return true;
    }

    private static byte[] concat(byte[] e) {
        byte[] out = java.util.Arrays.copyOf(e, e.length + 2);
        out[e.length] = '\r';
        out[e.length + 1] = '\n';
        return out;
    }
}

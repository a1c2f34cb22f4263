package review.kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a runner. It answers health checks and 421, and runs the requests that come to it. */
public final class Runner implements AutoCloseable {
    /** Runs one request and answers it. */
    public interface Work {
        void run(Runner runner, Http.Message request, Http.Connection to) throws Exception;
    }

    public final String id;
    public final String service;
    public final String zone;
    /** Attempt ids of the requests that ran here. */
    public final List<String> runs = new CopyOnWriteArrayList<>();
    private final Case test;
    private final Work work;
    private final Http.Server server;
    private final long bornAtMs = System.currentTimeMillis();
    /** Layers of an engine, or null for a runner of a plain service. */
    public volatile int[] layers;
    public volatile boolean isLeaving;
    private volatile long orders;
    private long beats = 1;

    public Runner(Case test, String id, String service, String zone, Work work) throws IOException {
        this.test = test;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.work = work;
        server = new Http.Server(this::handle);
    }

    public String address() {
        return server.address();
    }

    /** The runner's entry in the store. */
    public String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\""
                + zone + "\",\"version\":\"v1\",\"slots\":134,\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"born\":" + bornAtMs + layersText()
                + ",\"sequence\":" + beats++ + "}";
    }

    private String layersText() {
        int[] held = layers;
        if (held == null) return "";
        return ",\"kind\":\"card\",\"stage\":\"both\",\"models\":[{\"name\":\"model\",\"version\":1,"
                + "\"adapters\":[]}],\"layers\":[{\"from\":" + held[0] + ",\"to\":" + held[1]
                + ",\"version\":1}]";
    }

    /** Headers of an answer to {@code request}. */
    public Map<String, String> headers(Http.Message request) {
        Map<String, String> headers = Http.headers(
                "Attempt-Id", request.header("Attempt-Id"), "Response-Seal", "seal-of-" + id);
        if (isLeaving) headers.put("Server-Leaving", "1");
        return headers;
    }

    private void handle(Http.Message request, Http.Connection to) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            to.respond(421, Http.headers("Instance", id), new byte[0]);
        } else if (request.path().equals("/health")) {
            to.respond(isLeaving ? 503 : 200, Http.headers("Instance", id), new byte[0]);
        } else if (request.path().equals("/v1/report")) {
            String body = "{\"born\":" + bornAtMs + ",\"busy\":false,\"sequence\":" + orders
                    + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":400000,\"handles\":0"
                    + ",\"pace\":1.0" + layersText() + "}";
            to.respond(200, Http.headers("Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8));
        } else if (request.path().equals("/v1/order")) {
            Map<String, Object> order = Json.object(request.text());
            layers = new int[] {((Long) order.get("from")).intValue(),
                    ((Long) order.get("to")).intValue()};
            orders++;
            test.log(id + " is ordered to hold " + layers[0] + "-" + layers[1]);
            to.respond(202, Http.headers(), new byte[0]);
        } else {
            runs.add(request.header("Attempt-Id"));
            work.run(this, request, to);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

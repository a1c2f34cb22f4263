import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import review.kit.Case;
import review.kit.Http;
import review.kit.Runner;
import review.kit.Site;
import review.kit.Store;

/** A router gets SIGTERM, and one of eight runners leaves, while streams that may not run twice run. */
public final class Stream {
    static final int GRACE_S = 8;
    static final int TIMEOUT_MS = 20_000;
    static final int EVENTS = 36;
    static final int EVENT_MS = 50;
    static final int STREAMS = 26;
    static final int ENGINES = 8;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Stream::holds);
    }

    private static boolean holds(Case test) throws Exception {
        Store store = new Store();
        List<Runner> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            Runner engine = new Runner(test, "i-engine-" + i, "model", "zone-" + (1 + i % 2), Stream::stream);
            engine.layers = new int[] {0, 4};
            engines.add(engine);
            store.write("servers/" + engine.id, engine.entry("ready"));
        }
        Site site = new Site().engines("model", 4)
                .route("/notes/", "stream", "model", TIMEOUT_MS, 500, 2, false);
        store.write("op/config", site.text(7, Case.KEY));
        Case.RouterProcess router = test.startRouters(store.address(), GRACE_S, "zone-1").get(0);
        router.awaitReady();
        Http.sleep(3_500);
        List<Http.Result> results = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            // The last ones come while the router is still in rotation.
            int laterMs = i < STREAMS - 2 ? 0 : 300 * (i - STREAMS + 4);
            threads.add(Http.daemon(() -> {
                Http.sleep(laterMs);
                String id = test.newId();
                try (Http.Client client = new Http.Client(router.clients)) {
                    Http.Result result = client.call("POST", "/notes/1", Http.headers("Host",
                            Case.HOST, "Attempt-Id", id, "Request-Deadline", "" + TIMEOUT_MS,
                            "Model", "model", "Token-Counts", "700,120", "Prompt-Prefix",
                            "5c1e07a2:40," + id + ":660", "Api-Key", Case.KEY), new byte[100],
                            6_000);
                    String text = result.answer == null ? "" : result.answer.text();
                    int events = text.split("\n\n").length;
                    test.log("stream " + id + ": status " + result.status + ", " + events + " of "
                            + EVENTS + " events, " + result.end);
                    synchronized (results) {
                        results.add(result);
                    }
                } catch (Exception e) {
                    test.log("stream " + id + ": " + e);
                }
            }));
        }
        Http.sleep(300);
        if (test.hasTrouble) {
            router.signal("TERM");
            Runner leaving = engines.get(0);
            for (Runner engine : engines) {
                if (engine.runs.size() > leaving.runs.size()) leaving = engine;
            }
            leaving.isLeaving = true;
            store.write("servers/" + leaving.id, leaving.entry("draining"));
            test.log(leaving.id + " reports that it is draining; it serves its streams to their end");
        }
        for (Thread thread : threads) thread.join();
        for (Runner engine : engines) test.log(engine.id + " ran " + engine.runs.size());
        router.copyOutput("draining", "stopped", "paths_planned", "server_known", "cause=\"server", "stream");
        if (results.size() < STREAMS) throw new Case.CannotRun("a request was not read");
        return results.stream().allMatch(result -> result.isComplete);
    }

    private static void stream(Runner runner, Http.Message request, Http.Connection to)
            throws Exception {
        Http.sleep(40);
        var headers = runner.headers(request);
        headers.put("Content-Type", "text/event-stream");
        headers.put("Weight-Versions", "1");
        to.startChunked(200, headers);
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: token token\n\n";
            to.chunk(event.getBytes(StandardCharsets.US_ASCII));
            Http.sleep(EVENT_MS);
        }
        to.chunk(new byte[0]);
    }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import review.kit.Case;
import review.kit.Http;
import review.kit.Runner;
import review.kit.Site;
import review.kit.Store;

/** A router is killed, and its clients resume their streams, which the route splits, elsewhere. */
public final class Resume {
    static final int EVENTS = 40;
    static final int EVENT_MS = 40;
    static final int STREAMS = 16;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Resume::holds);
    }

    private static boolean holds(Case test) throws Exception {
        Store store = new Store();
        Runner engine = new Runner(test, "i-engine", "model", "zone-1", Resume::stream);
        engine.layers = new int[] {0, 4};
        Runner plain = new Runner(test, "i-small", "small-model", "zone-1", Resume::stream);
        for (Runner runner : List.of(engine, plain)) {
            store.write("servers/" + runner.id, runner.entry("ready"));
        }
        Site site = new Site().engines("model", 4).plain("small-model")
                .split("/notes/", "stream", "model", "small-model", 20_000, 500, 2, true);
        store.write("op/config", site.text(7, Case.KEY));
        List<Case.RouterProcess> routers =
                test.startRouters(store.address(), 8, "zone-1", "zone-1");
        for (Case.RouterProcess router : routers) router.awaitReady();
        Http.sleep(3_500);
        List<Boolean> isRight = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            threads.add(Http.daemon(() -> {
                boolean right = read(test, routers);
                synchronized (isRight) {
                    isRight.add(right);
                }
            }));
        }
        Http.sleep(700);
        if (test.hasTrouble) routers.get(0).signal("KILL");
        for (Thread thread : threads) thread.join();
        for (Runner runner : List.of(engine, plain)) {
            test.log(runner.id + " ran " + runner.runs.size() + " requests");
        }
        return !isRight.contains(false);
    }

    /** Reads one stream, resumes it once after a broken connection, and checks its pieces. */
    private static boolean read(Case test, List<Case.RouterProcess> routers) {
        List<Integer> pieces = new ArrayList<>();
        StringBuilder seen = new StringBuilder();
        for (Case.RouterProcess router : routers) {
            String id = test.newId();
            Map<String, String> headers = Http.headers("Host", Case.HOST, "Attempt-Id", id,
                    "Request-Deadline", "20000", "Model", "model", "Token-Counts", "700,120",
                    "Prompt-Prefix", "5c1e07a2:40," + id + ":660", "Api-Key", Case.KEY);
            int last = pieces.isEmpty() ? 0 : pieces.get(pieces.size() - 1);
            if (last > 0) headers.put("Last-Event-Id", "" + last);
            try (Http.Client client = new Http.Client(router.clients)) {
                Http.Result result = client.call("POST", "/notes/1", headers, new byte[100], 5_000);
                List<Integer> next = ids(result);
                pieces.addAll(next);
                seen.append(id + " at " + router.name + (last > 0 ? ", resumed at " + last : "")
                        + ": status " + result.status + ", pieces " + range(next) + " by "
                        + (result.answer == null ? "none" : result.answer.header("Response-Seal"))
                        + ", " + result.end + "; ");
                if (result.isComplete) break;
            } catch (IOException e) {
                seen.append(router.name + ": " + e.getMessage() + "; ");
            }
        }
        boolean isInOrder = true;
        for (int i = 0; i < pieces.size(); i++) isInOrder &= pieces.get(i) == i + 1;
        test.log("stream " + (isInOrder ? "in order: " : "WITH PIECES TWICE: ") + seen);
        return isInOrder;
    }

    private static String range(List<Integer> pieces) {
        if (pieces.isEmpty()) return "none";
        return pieces.get(0) + " to " + pieces.get(pieces.size() - 1);
    }

    private static List<Integer> ids(Http.Result result) {
        List<Integer> ids = new ArrayList<>();
        if (result.answer == null || result.status != 200) return ids;
        String text = result.answer.text();
        int end = text.lastIndexOf("\n\n");
        if (end < 0) return ids;
        for (String event : text.substring(0, end).split("\n\n")) {
            ids.add(Integer.parseInt(event.split("\n")[0].substring("id: ".length())));
        }
        return ids;
    }

    /** A runner of either service: it goes on after Last-Event-Id where a request has one. */
    private static void stream(Runner runner, Http.Message request, Http.Connection to)
            throws Exception {
        String last = request.header("Last-Event-Id");
        Http.sleep(30);
        Map<String, String> headers = runner.headers(request);
        headers.put("Content-Type", "text/event-stream");
        to.startChunked(200, headers);
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: token token\n\n";
            to.chunk(event.getBytes(StandardCharsets.US_ASCII));
            Http.sleep(EVENT_MS);
        }
        to.chunk(new byte[0]);
    }
}

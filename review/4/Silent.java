import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import review.kit.Case;
import review.kit.Http;
import review.kit.Runner;
import review.kit.Site;
import review.kit.Store;

/** The open connections to the store go silent, and then the operator moves a route. */
public final class Silent {
    static final int STABLE_MS = 3_000;
    static final int CONFIG_APPLY_MS = 2_000;
    static final int REVOKE_MS = 5_000;
    static final String WITHDRAWN = "key-that-is-withdrawn";

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Silent::holds);
    }

    private static boolean holds(Case test) throws Exception {
        Store store = new Store();
        Link link = new Link(store.address());
        Runner old = plain(test, "i-old", "desk-a");
        Runner next = plain(test, "i-new", "desk-b");
        store.write("servers/" + old.id, old.entry("ready"));
        store.write("servers/" + next.id, next.entry("ready"));
        store.write("op/config", site("desk-a").text(7, Case.KEY, WITHDRAWN));
        List<Case.RouterProcess> routers = test.startRouters(link.address(), 8, "zone-1", "zone-2");
        for (Case.RouterProcess router : routers) router.awaitReady();
        Http.sleep(3_000);
        test.log("the operator writes version 9, which changes nothing for this route");
        store.write("op/config", site("desk-a").text(9, Case.KEY, WITHDRAWN));
        Http.sleep(400);
        if (test.hasTrouble) {
            link.silenceOpenConnections();
            test.log("the open connections to the store go silent; new ones work");
        }
        // From here on no process, machine, link or connection is disturbed any more.
        Http.sleep(STABLE_MS + 200);
        store.write("op/config", site("desk-b").text(12, Case.KEY));
        long acknowledgedAtMs = test.nowMs();
        test.log("version 12 moves the route to desk-b and withdraws a key; acknowledged");
        int stale = 0;
        int fresh = 0;
        int withdrawn = 0;
        while (test.nowMs() < acknowledgedAtMs + 9_000) {
            for (Case.RouterProcess router : routers) {
                long sentAtMs = test.nowMs();
                boolean isDue = sentAtMs > acknowledgedAtMs + CONFIG_APPLY_MS;
                String ranAt = call(test, router, Case.KEY, old, next);
                test.log((sentAtMs - acknowledgedAtMs) + " ms after it: request to " + router.name
                        + " ran at " + ranAt + (isDue && ranAt.equals("desk-a") ? "  STALE" : ""));
                if (isDue && ranAt.equals("desk-a")) stale++;
                if (isDue && ranAt.equals("desk-b")) fresh++;
                boolean isRevoked = sentAtMs > acknowledgedAtMs + REVOKE_MS;
                String withKey = call(test, router, WITHDRAWN, old, next);
                if (isRevoked && withKey.startsWith("desk")) {
                    withdrawn++;
                    test.log("  and one with the withdrawn key ran at " + withKey);
                }
            }
            Http.sleep(250);
        }
        for (Case.RouterProcess router : routers) {
            router.copyOutput("configuration_applied", "store_lost", "store_regained");
        }
        test.log("requests sent later than " + CONFIG_APPLY_MS
                + " ms after the acknowledgement: run by the old service " + stale
                + ", by the new one " + fresh);
        test.log("requests sent later than " + REVOKE_MS
                + " ms after it that ran with the withdrawn key: " + withdrawn);
        if (stale + fresh < 20) throw new Case.CannotRun("too few requests ran");
        return stale == 0 && withdrawn == 0;
    }

    private static Runner plain(Case test, String id, String service) throws IOException {
        return new Runner(test, id, service, "zone-1", (runner, request, to) -> {
            Http.sleep(20);
            to.respond(200, runner.headers(request),
                    ("from " + service).getBytes(StandardCharsets.UTF_8));
        });
    }

    private static Site site(String service) {
        return new Site().plain("desk-a").plain("desk-b")
                .route("/orders/", "unsafe", service, 1_500, 200, 1, false);
    }

    private static String call(Case test, Case.RouterProcess router, String key, Runner old,
            Runner next) throws IOException {
        String id = test.newId();
        try (Http.Client client = new Http.Client(router.clients)) {
            Http.Result result = client.call("POST", "/orders/1", Http.headers("Host", Case.HOST,
                    "Attempt-Id", id, "Request-Deadline", "1500", "Api-Key", key),
                    new byte[0], 2_000);
            if (old.runs.contains(id)) return "desk-a";
            if (next.runs.contains(id)) return "desk-b";
            return "no service, status " + result.status + ", " + result.end;
        }
    }

    /** A proxy before the store, whose open connections can go silent without a reset. */
    private static final class Link {
        private final ServerSocket listener =
                new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        private final String store;
        private volatile Set<Object> silent = Set.of();
        private final Set<Object> open = ConcurrentHashMap.newKeySet();

        Link(String store) throws IOException {
            this.store = store;
            Http.daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void silenceOpenConnections() {
            silent = Set.copyOf(open);
        }

        private void accept() {
            while (true) {
                try {
                    Socket near = listener.accept();
                    String[] parts = store.split(":");
                    Socket far = new Socket();
                    far.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Object pair = new Object();
                    open.add(pair);
                    Http.daemon(() -> copy(near, far, pair));
                    Http.daemon(() -> copy(far, near, pair));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void copy(Socket from, Socket to, Object pair) {
            byte[] buffer = new byte[16_384];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                while (true) {
                    int count = in.read(buffer);
                    if (silent.contains(pair)) {
                        if (count < 0) return;
                        continue;
                    }
                    if (count < 0) break;
                    out.write(buffer, 0, count);
                    out.flush();
                }
            } catch (IOException e) {
                // One side has closed or reset the connection.
            }
            open.remove(pair);
            if (silent.contains(pair)) return;
            try {
                from.close();
                to.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }
}

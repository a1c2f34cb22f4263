package kit2;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Clients of the service `desk`, each of which sends requests that may run only once over a kept
 * connection, one after the other, and waits for longer than the route's `timeoutMs`.
 */
public final class Traffic {
    public static final int TIMEOUT_MS = 1_500;
    private static final int DEADLINE_MS = 4_000;

    /** One request, with times in ms; -1 while there is none. */
    public static final class Request {
        public final String id;
        public final int router;
        public final long sentAt;
        public volatile long endedAt = -1;
        public volatile int status = -1;

        /** True if the connection ended before a byte of the answer, without a time-out. */
        public volatile boolean isCut;

        Request(String id, int router, long sentAt) {
            this.id = id;
            this.router = router;
            this.sentAt = sentAt;
        }
    }

    private final Site site;
    private final List<Runner> runners;
    private final List<Thread> threads = new ArrayList<>();
    public final List<Request> requests = new CopyOnWriteArrayList<>();
    private final int pauseMs;
    private volatile boolean isOver;

    /** Each client pauses for up to [pauseMs] before a request. */
    public Traffic(Site site, List<Runner> runners, int pauseMs) {
        this.site = site;
        this.runners = runners;
        this.pauseMs = pauseMs;
    }

    public void clients(Site.Router router, int count) {
        for (int i = 0; i < count; i++) threads.add(Server.daemon("client", () -> client(router)));
    }

    public void end() throws InterruptedException {
        isOver = true;
        for (Thread t : threads) t.join(DEADLINE_MS + 1_000);
    }

    /** True if a runner has begun to work on [r]. */
    public boolean hasRun(Request r) {
        return runners.stream().anyMatch(it -> it.ran.contains(r.id));
    }

    public long served(long from, long to) {
        return requests.stream().filter(it -> it.sentAt >= from && it.sentAt < to && it.status == 200).count();
    }

    /** LOST: requests that [router] passed on and whose kept connection ended without an answer. */
    public long lost(Site.Router router) {
        return requests.stream().filter(it -> it.router == router.machine && it.isCut && hasRun(it)).count();
    }

    /** CONFIG: requests sent in the span that were unanswered at the route's timeoutMs. */
    public List<Request> unansweredAtTimeout(long from, long to) {
        return requests.stream().filter(it -> it.sentAt >= from && it.sentAt < to && !isEndedWithin(it, TIMEOUT_MS)).toList();
    }

    public static boolean isEndedWithin(Request r, long ms) {
        return r.endedAt >= 0 && r.endedAt - r.sentAt <= ms;
    }

    private void client(Site.Router router) {
        while (!isOver) {
            try (Client c = new Client(router.ip, DEADLINE_MS)) {
                boolean goesOn = true;
                while (!isOver && goesOn) goesOn = request(router, c);
            } catch (IOException e) {
                Server.sleep(200);
            }
        }
    }

    private boolean request(Site.Router router, Client c) throws IOException {
        if (pauseMs > 0) Server.sleep(ThreadLocalRandom.current().nextInt(pauseMs));
        Request r = new Request(Client.newId(), router.machine, Server.now());
        requests.add(r);
        site.note("client sends " + r.id + " to router " + router.machine);
        c.send(r.id, "POST", "/book/a", DEADLINE_MS, "", new byte[600]);
        try {
            Http.Message m = c.answer();
            if (m == null) throw new IOException("the connection ends");
            r.endedAt = Server.now();
            r.status = m.status();
            site.note("client gets " + r.status + " for " + r.id + " after " + (r.endedAt - r.sentAt) + " ms");
            if (r.status != 200) Server.sleep(200);
            return !"close".equalsIgnoreCase(m.header("connection"));
        } catch (SocketTimeoutException e) {
            site.note("client has no answer to " + r.id + " after " + DEADLINE_MS + " ms, and leaves");
            return false;
        } catch (IOException e) {
            r.isCut = true;
            site.note("client gets no answer to " + r.id + " from router " + router.machine + ": " + e.getMessage());
            Server.sleep(200);
            return false;
        }
    }
}

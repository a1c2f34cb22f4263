package case7;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit2.Client;
import kit2.Configs;
import kit2.Engine;
import kit2.Http;
import kit2.Runner;
import kit2.Server;
import kit2.Site;
import kit2.Traffic;

/** Two of four model runners send line feeds without end in the bodies of their streams. */
public final class EndlessBody {
    /** Rate of each of them, 120 Mbit/s: together half of what the link of a `front` machine carries. */
    private static final int BYTES_PER_S = 15_000_000;
    private static final int CHUNK_BYTES = 16_384;
    private static final AtomicInteger streams = new AtomicInteger();
    private static volatile boolean isOver;
    private static volatile boolean isFaulty;

    /** A runner in trouble. */
    private static final class Faulty extends Engine {
        private long freeAt;

        Faulty(Site site, String host, String id) {
            super(site, host, id);
        }

        private synchronized long reserve() {
            long start = Math.max(freeAt, Server.now());
            freeAt = start + CHUNK_BYTES * 1_000L / BYTES_PER_S;
            return start;
        }

        @Override
        protected boolean stream(Http.Message m, Socket s) throws IOException {
            if (!isFaulty) return super.stream(m, s);
            streamHead(m, s);
            byte[] chunk = new byte[CHUNK_BYTES + 2];
            Arrays.fill(chunk, (byte) '\n');
            chunk[CHUNK_BYTES] = '\r';
            long sent = 0;
            try {
                while (true) {
                    Server.sleep(reserve() - Server.now());
                    send(s, Integer.toHexString(CHUNK_BYTES) + "\r\n", chunk);
                    sent += CHUNK_BYTES;
                }
            } catch (IOException e) {
                site.note("runner " + id + " has sent " + sent + " line feeds to " + m.header("attempt-id") + " when its caller closes");
                throw e;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site site = new Site(args[0]);
        List<Runner> desk = List.of(new Runner(site, site.ip(11), "i-one", "desk"), new Runner(site, site.ip(12), "i-two", "desk"));
        List<Runner> all = new ArrayList<>(desk);
        for (int i = 0; i < 2; i++) {
            all.add(new Engine(site, site.ip(20 + i), "i-model" + i));
            all.add(new Faulty(site, site.ip(24 + i), "i-faulty" + i));
        }
        for (Runner r : all) {
            r.start();
            r.register("ready");
        }
        for (Runner r : desk) r.workMs = 100;
        site.store.put("op/config", Configs.withModel(7));
        Site.Router router = site.router(1).start();
        boolean ready = router.awaitReady(30_000);
        Server.sleep(5_000);
        Traffic traffic = new Traffic(site, desk, 1500);
        traffic.clients(router, 24);
        for (int i = 0; i < 60; i++) Server.daemon("stream client", () -> streamClient(site, router));
        Server.sleep(8_000);
        long from = Server.now();
        long before = traffic.served(0, from);
        int streamsBefore = streams.get();
        if (!ready || before < 50 || streamsBefore < 10) {
            site.note("could not run: ready " + ready + ", served " + before + ", streams " + streamsBefore);
            site.close();
            System.exit(2);
        }
        isFaulty = trouble;
        if (trouble) site.note("the runners i-faulty begin to send line feeds without end in their answers");
        int notReady = 0;
        for (int i = 0; i < 20; i++) {
            Server.sleep(1_000);
            if (!router.isReady()) notReady++;
        }
        long to = Server.now();
        int streamsAfter = streams.get() - streamsBefore;
        isOver = true;
        traffic.end();
        List<Traffic.Request> unanswered = traffic.unansweredAtTimeout(from, to);
        long late = unanswered.stream().filter(it -> !Traffic.isEndedWithin(it, Traffic.TIMEOUT_MS + 500)).count();
        site.note("served: " + before + " in 8 s before, " + traffic.served(from, to) + " in " + (to - from) + " ms after; whole streams: "
            + streamsBefore + " before, " + streamsAfter + " after; not ready at " + notReady + " of 20 questions");
        site.note("unanswered at timeoutMs: " + unanswered.size() + "; of these without an answer half a second later: " + late);
        boolean broken = late >= 8 && late * 4 > unanswered.size();
        site.note(broken ? "CONFIG is broken" : "CONFIG is kept");
        site.close();
        System.exit(broken ? 1 : 0);
    }

    /** Leaves after two seconds without an event. */
    private static void streamClient(Site site, Site.Router router) {
        while (!isOver) {
            String id = Client.newId();
            try (Client c = new Client(router.ip, 2_000)) {
                site.note("client sends " + id + " for a stream");
                c.send(id, "POST", "/draft/a", 20_001, "Model: m\r\nToken-Counts: 800,80\r\nPrompt-Prefix: aa:40," + id + ":760\r\n",
                    new byte[800]);
                Http.Message m = Http.head(c.in());
                if (m == null) throw new IOException("closed");
                if (m.status() != 200) {
                    Http.body(m, c.in());
                    site.note("client gets " + m.status() + " for " + id);
                    Server.sleep(300);
                    continue;
                }
                long eventAt = Server.now();
                for (byte[] chunk = Http.chunk(c.in()); chunk.length > 0; chunk = Http.chunk(c.in())) {
                    if (new String(chunk).contains("id:")) eventAt = Server.now();
                    if (Server.now() - eventAt > 2_000) throw new IOException("no event for two seconds");
                }
                streams.incrementAndGet();
                site.note("client has the whole stream " + id);
            } catch (IOException e) {
                site.note("client leaves " + id + ": " + e.getMessage());
                Server.sleep(200);
            }
        }
    }
}

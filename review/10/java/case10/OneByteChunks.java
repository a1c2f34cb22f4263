package case10;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit2.Client;
import kit2.Configs;
import kit2.Http;
import kit2.Runner;
import kit2.Server;
import kit2.Site;
import kit2.Traffic;

/** Two of four plain runners answer with a body without end, in chunks of one byte. */
public final class OneByteChunks {
    /** Rate of each of them, 120 Mbit/s: together half of what the link of a `front` machine carries. */
    private static final int BYTES_PER_S = 15_000_000;
    private static final byte[] CHUNKS = "1\r\nx\r\n".repeat(10_000).getBytes();
    private static final AtomicInteger read = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();
    private static volatile boolean isOver;
    private static volatile boolean isFaulty;

    /** A runner in trouble. */
    private static final class Faulty extends Runner {
        private long freeAt;

        Faulty(Site site, String host, String id) {
            super(site, host, id, "desk");
        }

        private synchronized long reserve() {
            long start = Math.max(freeAt, Server.now());
            freeAt = start + CHUNKS.length * 1_000L / BYTES_PER_S;
            return start;
        }

        @Override
        protected boolean run(Http.Message m, Socket s) throws IOException {
            if (!isFaulty) return super.run(m, s);
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            head.writeBytes(("HTTP/1.1 200 OK\r\n" + echo(m) + "Response-Seal: " + seal() + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            send(s, "", head.toByteArray());
            long sent = 0;
            try {
                while (true) {
                    Server.sleep(reserve() - Server.now());
                    send(s, "", CHUNKS);
                    sent += CHUNKS.length;
                }
            } catch (IOException e) {
                site.note("runner " + id + " has sent " + sent + " bytes to " + m.header("attempt-id") + " when its caller closes");
                throw e;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site site = new Site(args[0]);
        List<Runner> tills = List.of(new Runner(site, site.ip(11), "i-till1", "till"), new Runner(site, site.ip(12), "i-till2", "till"));
        List<Runner> all = new ArrayList<>(tills);
        for (int i = 0; i < 2; i++) {
            all.add(new Runner(site, site.ip(21 + i), "i-desk" + i, "desk"));
            all.add(new Faulty(site, site.ip(25 + i), "i-faulty" + i));
        }
        for (Runner r : all) {
            r.workMs = 100;
            r.start();
            r.register("ready");
        }
        String plain = Configs.plain(7).replaceFirst("\"service\":\"desk\"", "\"service\":\"till\"");
        String till = "{\"name\":\"till\",\"healthPath\":\"/health\",\"maxConnections\":192,\"protocol\":\"h1\",\"tls\":false},";
        site.store.put("op/config", plain.replace("\"services\":[", "\"services\":[" + till));
        Site.Router router = site.router(1).start();
        boolean ready = router.awaitReady(30_000);
        Server.sleep(1_000);
        Traffic bookings = new Traffic(site, tills, 1_500);
        bookings.clients(router, 24);
        for (int i = 0; i < 30; i++) Server.daemon("reader", () -> reader(site, router));
        Server.sleep(8_000);
        long from = Server.now();
        long before = bookings.served(0, from);
        if (!ready || before < 50 || read.get() < 50) {
            site.note("could not run: ready " + ready + ", served " + before + ", read " + read);
            site.close();
            System.exit(2);
        }
        isFaulty = trouble;
        int notReady = 0;
        for (int i = 0; i < 20; i++) {
            Server.sleep(1_000);
            if (!router.isReady()) notReady++;
        }
        long to = Server.now();
        isOver = true;
        bookings.end();
        List<Traffic.Request> unanswered = bookings.unansweredAtTimeout(from, to);
        long late = unanswered.stream().filter(it -> !Traffic.isEndedWithin(it, Traffic.TIMEOUT_MS + 500)).count();
        site.note("bookings served: " + before + " in 8 s before, " + bookings.served(from, to) + " in " + (to - from)
            + " ms after; reads " + read + ", failed reads " + failed + "; not ready at " + notReady + " of 20 questions");
        site.note("unanswered at timeoutMs: " + unanswered.size() + "; of these without an answer half a second later: " + late);
        boolean broken = late >= 8 && late * 4 > unanswered.size();
        site.note(broken ? "CONFIG is broken" : "CONFIG is kept");
        site.close();
        System.exit(broken ? 1 : 0);
    }

    private static void reader(Site site, Site.Router router) {
        while (!isOver) {
            try (Client c = new Client(router.ip, 4_000)) {
                while (!isOver) {
                    String id = Client.newId();
                    site.note("reader sends " + id);
                    c.send(id, "GET", "/look/a", 1_500, "", new byte[0]);
                    Http.Message m = c.answer();
                    if (m == null) throw new IOException("the connection ends");
                    site.note("reader gets " + m.status() + " for " + id);
                    (m.status() == 200 ? read : failed).incrementAndGet();
                    Server.sleep(200);
                }
            } catch (IOException e) {
                failed.incrementAndGet();
                Server.sleep(200);
            }
        }
    }
}

package case6;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit2.Configs;
import kit2.Runner;
import kit2.Server;
import kit2.Site;
import kit2.Traffic;

/**
 * Two routers and two runners in steady traffic, and one odd entry of another writer. The script
 * starts a router that ends again after a short delay, as the platform does.
 */
public final class OddEntry {
    /** `valueBytes` of the platform's store. */
    private static final int VALUE_BYTES = 1_048_576;
    private static final int NESTING = 13;
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site site = new Site(args[0]);
        List<Runner> runners = List.of(new Runner(site, site.ip(11), "i-one", "desk"), new Runner(site, site.ip(12), "i-two", "desk"));
        for (Runner r : runners) {
            r.workMs = 100;
            r.start();
            r.register("ready");
        }
        site.store.put("op/config", Configs.plain(7));
        List<Site.Router> routers = List.of(site.router(1).start(), site.router(2).start());
        boolean ready = true;
        for (Site.Router r : routers) ready &= r.awaitReady(30_000);
        Traffic traffic = new Traffic(site, runners, 0);
        for (Site.Router r : routers) traffic.clients(r, 6);
        Server.sleep(8_000);
        long before = traffic.served(0, Server.now());
        if (!ready || before < 100) {
            site.note("could not run: ready " + ready + ", served before the disruption " + before);
            site.close();
            System.exit(2);
        }
        AtomicInteger ends = new AtomicInteger();
        for (Site.Router r : routers) Server.daemon("platform", () -> keepRunning(site, r, ends));
        long oddAt = Server.now();
        if (trouble) {
            String element = "[".repeat(NESTING) + "0" + "]".repeat(NESTING);
            int count = (VALUE_BYTES - 40) / (element.length() + 1);
            String value = "{\"service\":\"desk\",\"notes\":[" + element + ("," + element).repeat(count - 1) + "]}";
            site.note("another writer leaves an entry of " + value.length() + " bytes as servers/x-odd");
            site.store.put("servers/x-odd", value);
        }
        Server.sleep(25_000);
        long after = traffic.served(oddAt + 5_000, Server.now());
        isOver = true;
        traffic.end();
        List<Long> lost = routers.stream().map(traffic::lost).toList();
        site.note("served: " + before + " in 8 s before, " + after + " in 20 s from 5 s after; processes ended by themselves: " + ends
            + "; passed on and closed without an answer, by router: " + lost);
        boolean broken = lost.stream().anyMatch(it -> it > 3);
        site.note(broken ? "LOST is broken" : "LOST is kept");
        site.close();
        System.exit(broken ? 1 : 0);
    }

    private static void keepRunning(Site site, Site.Router router, AtomicInteger ends) {
        try {
            while (true) {
                router.process.waitFor();
                if (isOver) return;
                ends.incrementAndGet();
                Server.sleep(500);
                if (!isOver) router.start();
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}

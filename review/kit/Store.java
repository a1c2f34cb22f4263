package review.kit;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store, after its page: items, watches, transactions and leases. */
public final class Store implements AutoCloseable {
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> events = new ArrayList<>();
    private final Map<Long, Long> leaseEndsAtMs = new LinkedHashMap<>();
    private final Map<Long, Long> leaseTtlMs = new LinkedHashMap<>();
    private final Http.Server server;
    private long revision = 100;
    private long nextLease = 7001;

    public Store() throws IOException {
        server = new Http.Server(this::handle);
        Http.daemon(() -> {
            while (true) {
                Http.sleep(20);
                expire();
            }
        });
    }

    public String address() {
        return server.address();
    }

    /** Writes as the operator or a server does, and returns the revision of the change. */
    public synchronized long write(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    private void put(String key, String value, long lease) {
        revision++;
        Map<String, Object> known = items.get(key);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", value);
        item.put("revision", revision);
        item.put("createdAt", known == null ? (Object) revision : known.get("createdAt"));
        item.put("lease", lease);
        items.put(key, item);
        events.add(item);
    }

    private void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        Map<String, Object> event = new LinkedHashMap<>();
        event.put("key", key);
        event.put("revision", revision);
        event.put("deleted", true);
        events.add(event);
    }

    private synchronized void expire() {
        long nowMs = System.nanoTime() / 1_000_000;
        List<Long> ended = new ArrayList<>();
        leaseEndsAtMs.forEach((id, at) -> {
            if (at < nowMs) ended.add(id);
        });
        ended.forEach(this::endLease);
        if (!ended.isEmpty()) notifyAll();
    }

    private void endLease(long id) {
        leaseEndsAtMs.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.get("lease").equals(id)) keys.add(key);
        });
        keys.forEach(this::remove);
    }

    private void handle(Http.Message request, Http.Connection to) throws Exception {
        Map<String, String> query = query(request.target());
        String path = request.path();
        Object[] answer;
        if (path.equals("/v1/kv-watch")) {
            answer = watch(query);
        } else {
            synchronized (this) {
                answer = answer(path, request, query);
                notifyAll();
            }
        }
        byte[] body = Json.text(answer[1]).getBytes(StandardCharsets.UTF_8);
        to.respond((int) answer[0], Http.headers("Content-Type", "application/json"), body);
    }

    private Object[] answer(String path, Http.Message request, Map<String, String> query) {
        if (path.equals("/v1/kv-key")) {
            Map<String, Object> item = items.get(query.get("key"));
            return item == null ? new Object[] {404, Map.of()} : new Object[] {200, item};
        }
        if (path.equals("/v1/kv-range")) {
            List<Object> found = new ArrayList<>();
            items.forEach((key, item) -> {
                if (key.startsWith(query.get("pathPrefix"))) found.add(item);
            });
            return new Object[] {200,
                    Map.of("items", found, "truncated", false, "currentRev", revision)};
        }
        if (path.equals("/v1/kv-txn")) return transaction(Json.object(request.text()));
        if (path.equals("/v1/kv-lease")) {
            long id = nextLease++;
            long ttlMs = (Long) Json.object(request.text()).get("ttlMs");
            leaseTtlMs.put(id, ttlMs);
            leaseEndsAtMs.put(id, System.nanoTime() / 1_000_000 + ttlMs);
            return new Object[] {200, Map.of("lease", id, "ttlMs", ttlMs)};
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEndsAtMs.containsKey(id)) return new Object[] {404, Map.of()};
        if (request.method().equals("DELETE")) {
            endLease(id);
        } else {
            leaseEndsAtMs.put(id, System.nanoTime() / 1_000_000 + leaseTtlMs.get(id));
        }
        return new Object[] {200, Map.of("lease", id, "ttlMs", leaseTtlMs.get(id))};
    }

    @SuppressWarnings("unchecked")
    private Object[] transaction(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean fails = false;
        for (Object row : (List<Object>) body.get("expected")) {
            Map<String, Object> fields = (Map<String, Object>) row;
            Map<String, Object> item = items.get(fields.get("key"));
            long held = item == null ? 0 : (Long) item.get("revision");
            if (held != (Long) fields.get("revision")) fails = true;
            if (item != null) current.add(item);
        }
        if (fails) return new Object[] {412, Map.of("items", current)};
        for (Object row : (List<Object>) body.get("puts")) {
            long lease = (Long) ((Map<String, Object>) row).get("lease");
            if (lease != 0 && !leaseEndsAtMs.containsKey(lease)) {
                return new Object[] {404, Map.of()};
            }
        }
        for (Object row : (List<Object>) body.get("puts")) {
            Map<String, Object> fields = (Map<String, Object>) row;
            put((String) fields.get("key"), (String) fields.get("value"),
                    (Long) fields.get("lease"));
        }
        for (Object key : (List<Object>) body.get("remove")) remove((String) key);
        return new Object[] {200, Map.of("revision", revision)};
    }

    private synchronized Object[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.get("pathPrefix");
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Map<String, Object> event : events) {
                boolean isNew = (Long) event.get("revision") > after;
                if (isNew && ((String) event.get("key")).startsWith(prefix)) found.add(event);
            }
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                return new Object[] {200, Map.of("events", found, "currentRev", revision)};
            }
            wait(leftMs);
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new LinkedHashMap<>();
        if (!target.contains("?")) return query;
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

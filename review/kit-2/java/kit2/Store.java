package kit2;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it. */
public final class Store extends Server {
    /** An item, or in the history also a deletion, which has no value. */
    private record Item(String key, byte[] value, long revision, long createdAt, long lease) {
        String json() {
            if (value == null) return "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"deleted\":true}";
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                + "\",\"revision\":" + revision + ",\"createdAt\":" + createdAt + ",\"lease\":" + lease + "}";
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private TreeMap<String, Item> items = new TreeMap<>();
    private List<Item> history = new ArrayList<>();
    private Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long compacted = 100;
    private long nextLease = 70_000;

    public Store(String host, int port) {
        super(host, port);
    }

    @Override
    public void start() throws IOException {
        super.start();
        daemon("leases", () -> {
            while (true) {
                sleep(20);
                expire();
            }
        });
    }

    /** Writes as the operator or a runner does; returns the revision. */
    public synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    /** Removes as a runner does when it leaves. */
    public synchronized long remove(String key) {
        return delete(key);
    }

    public synchronized String get(String key) {
        Item i = items.get(key);
        return i == null ? null : new String(i.value, StandardCharsets.UTF_8);
    }

    /** Discards the history. */
    public synchronized void compact() {
        history.clear();
        compacted = revision;
        notifyAll();
    }

    private long write(String key, byte[] value, long lease) {
        Item old = items.get(key);
        revision++;
        Item next = new Item(key, value, revision, old == null ? revision : old.createdAt, lease);
        items.put(key, next);
        history.add(next);
        notifyAll();
        return revision;
    }

    private long delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Item(key, null, revision, 0, 0));
            notifyAll();
        }
        return revision;
    }

    private synchronized void expire() {
        long now = now();
        for (Long id : new ArrayList<>(leases.keySet())) if (leases.get(id).endsAt < now) endLease(id);
    }

    private void endLease(long id) {
        leases.remove(id);
        for (Item i : new ArrayList<>(items.values())) if (i.lease == id) delete(i.key);
    }

    @Override
    protected boolean handle(Http.Message m, Socket s) throws IOException {
        String path = m.target().split("\\?")[0];
        Map<String, String> q = query(m.target());
        sleep(4);
        if (path.equals("/v1/kv-watch")) return answer(s, watch(q));
        synchronized (this) {
            if (path.equals("/v1/kv-key")) {
                Item i = items.get(q.get("key"));
                if (i == null) return answer(s, new Reply(404, "{\"currentRev\":" + revision + "}"));
                String j = i.json();
                return answer(s, new Reply(200, j.substring(0, j.length() - 1) + ",\"currentRev\":" + revision + "}"));
            }
            if (path.equals("/v1/kv-range")) return answer(s, range(q));
            if (path.equals("/v1/kv-txn")) return answer(s, transaction(Json.object(text(m))));
            if (path.equals("/v1/kv-lease")) {
                Lease l = new Lease();
                l.ttlMs = Math.max(1000, ((Number) Json.object(text(m)).get("ttlMs")).longValue());
                l.endsAt = now() + l.ttlMs;
                leases.put(++nextLease, l);
                return answer(s, new Reply(200, "{\"lease\":" + nextLease + ",\"ttlMs\":" + l.ttlMs + "}"));
            }
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            Lease l = leases.get(id);
            if (l == null) return answer(s, new Reply(404, "{}"));
            if (path.startsWith("/v1/kv-keep/")) {
                l.endsAt = now() + l.ttlMs;
                return answer(s, new Reply(200, "{\"ttlMs\":" + l.ttlMs + "}"));
            }
            endLease(id);
            return answer(s, new Reply(200, "{\"lease\":" + id + "}"));
        }
    }

    private record Reply(int status, String body) {}

    private Reply range(Map<String, String> q) {
        String prefix = q.getOrDefault("pathPrefix", "");
        List<String> page = new ArrayList<>();
        int bytes = 0;
        boolean truncated = false;
        for (Item i : items.tailMap(q.getOrDefault("after", ""), false).values()) {
            if (!i.key.startsWith(prefix)) continue;
            String j = i.json();
            if (!page.isEmpty() && (page.size() >= PAGE_ITEMS || bytes + j.length() > PAGE_BYTES)) {
                truncated = true;
                break;
            }
            page.add(j);
            bytes += j.length();
        }
        return new Reply(200, "{\"items\":[" + String.join(",", page) + "],\"truncated\":" + truncated
            + ",\"currentRev\":" + revision + "}");
    }

    private synchronized Reply watch(Map<String, String> q) {
        String prefix = q.getOrDefault("pathPrefix", "");
        long after = Long.parseLong(q.get("after"));
        long until = now() + Long.parseLong(q.get("waitMs"));
        while (true) {
            if (after < compacted) return new Reply(410, "{\"currentRev\":" + revision + "}");
            List<String> events = new ArrayList<>();
            for (Item i : history) if (i.revision > after && i.key.startsWith(prefix)) events.add(i.json());
            long left = until - now();
            if (!events.isEmpty() || left <= 0) {
                return new Reply(200, "{\"events\":[" + String.join(",", events) + "],\"currentRev\":" + revision + "}");
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Reply transaction(Map<String, Object> t) {
        List<Object> expected = (List<Object>) t.getOrDefault("expected", List.of());
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object o : expected) {
            Map<String, Object> e = (Map<String, Object>) o;
            Item i = items.get((String) e.get("key"));
            long at = i == null ? 0 : i.revision;
            if (at != ((Number) e.get("revision")).longValue()) holds = false;
            if (i != null) current.add(i.json());
        }
        if (!holds) return new Reply(412, "{\"items\":[" + String.join(",", current) + "],\"currentRev\":" + revision + "}");
        List<Object> puts = (List<Object>) t.getOrDefault("puts", List.of());
        for (Object o : puts) {
            Map<String, Object> p = (Map<String, Object>) o;
            String key = (String) p.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) return new Reply(403, "{}");
            long lease = p.get("lease") == null ? 0 : ((Number) p.get("lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) return new Reply(404, "{}");
        }
        for (Object o : puts) {
            Map<String, Object> p = (Map<String, Object>) o;
            long lease = p.get("lease") == null ? 0 : ((Number) p.get("lease")).longValue();
            write((String) p.get("key"), Base64.getDecoder().decode((String) p.get("value")), lease);
        }
        for (Object key : (List<Object>) t.getOrDefault("remove", List.of())) delete((String) key);
        return new Reply(200, "{\"revision\":" + revision + "}");
    }

    private boolean answer(Socket s, Reply r) throws IOException {
        byte[] body = r.body.getBytes(StandardCharsets.UTF_8);
        send(s, "HTTP/1.1 " + r.status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
            + "\r\n\r\n", body);
        return true;
    }

    private static String text(Http.Message m) {
        return new String(m.body, StandardCharsets.UTF_8);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> out = new LinkedHashMap<>();
        int at = target.indexOf('?');
        if (at < 0) return out;
        for (String part : target.substring(at + 1).split("&")) {
            String[] kv = part.split("=", 2);
            out.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
        }
        return out;
    }
}

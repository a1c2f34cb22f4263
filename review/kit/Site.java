package review.kit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Builds the operator's configuration of a case. */
public final class Site {
    private final List<Object> routes = new ArrayList<>();
    private final List<Object> services = new ArrayList<>();

    public Site route(String prefix, String kind, String service, int timeoutMs, int targetMs,
            int maxAttempts, boolean mayResume) {
        routes.add(Json.parse("{\"name\":\"r" + prefix.replace('/', '-') + "\",\"host\":\""
                + Case.HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs
                + ",\"priority\":0,\"service\":\"" + service + "\",\"maxAttempts\":" + maxAttempts
                + ",\"anonymous\":false,\"sessionAffinity\":false,\"resumeStreams\":" + mayResume
                + ",\"targetGapMs\":200}"));
        return this;
    }

    /** A route that is split in halves over two services. */
    public Site split(String prefix, String kind, String service, String other, int timeoutMs,
            int targetMs, int maxAttempts, boolean mayResume) {
        route(prefix, kind, service, timeoutMs, targetMs, maxAttempts, mayResume);
        @SuppressWarnings("unchecked")
        Map<String, Object> route = (Map<String, Object>) routes.get(routes.size() - 1);
        route.remove("service");
        route.put("backends", Json.parse("[{\"service\":\"" + service
                + "\",\"weight\":50},{\"service\":\"" + other + "\",\"weight\":50}]"));
        return this;
    }

    public Site plain(String service) {
        services.add(Json.parse("{\"name\":\"" + service
                + "\",\"healthPath\":\"/health\",\"maxConnections\":192,\"protocol\":\"h1\","
                + "\"tls\":false}"));
        return this;
    }

    /** A service of engines, each of which has memory for all {@code layers} layers. */
    public Site engines(String service, int layers) {
        services.add(Json.parse("{\"name\":\"" + service
                + "\",\"healthPath\":\"/health\",\"maxConnections\":2256,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":134,\"kvCapacity\":69791,"
                + "\"kvTokenBytes\":845373.0,\"bandwidthMbps\":480000.0,\"stride\":2,\"models\":"
                + "[{\"name\":\"model\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}],"
                + "\"step_ms\":0.85,\"read_per_s\":196000.0,\"loads_at_once\":6,"
                + "\"usual\":{\"prompt\":772,\"answer\":174},\"layers\":" + layers
                + ",\"layerMb\":1750.0,\"activationBytes\":42268,\"kinds\":[{\"name\":\"card\","
                + "\"mb\":72000.0,\"pace\":1.0,\"readFactor\":1.0}]}}"));
        return this;
    }

    public String text(long version, String... keys) {
        return Json.text(Map.of("version", version, "routes", routes, "services", services,
                "limits", Json.parse("{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"),
                "tenants", List.of(Map.of("name", "shop-one", "apiKeys", List.of(keys),
                        "priority", 1))));
    }
}

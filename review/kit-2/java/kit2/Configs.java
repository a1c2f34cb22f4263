package kit2;

/** Configurations as the operator writes them. */
public final class Configs {
    private Configs() {}

    private static final String LIMITS =
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"t-one\",\"apiKeys\":[\"" + Site.KEY + "\"],\"priority\":1}]";

    /** A plain service `desk` with the routes /book/ (unsafe) and /look/ (safe). */
    public static String plain(long version) {
        return plain(version, 0);
    }

    /** The same with [idle] further routes, which no client uses. */
    public static String plain(long version, int idle) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < idle; i++) more.append(',').append(route("r-idle" + i, "/idle" + i + "/", "safe", 1500, 2));
        return "{\"version\":" + version + ",\"routes\":["
            + route("r-book", "/book/", "unsafe", 1500, 1) + "," + route("r-look", "/look/", "safe", 1500, 2) + more
            + "],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":192,\"protocol\":\"h1\",\"tls\":false}],"
            + LIMITS + "}";
    }

    /** The service `desk` as in [plain], and the service `model` with the resumable streams of /draft/. */
    public static String withModel(long version) {
        String plain = plain(version);
        String draft = "{\"name\":\"r-draft\",\"host\":\"" + Site.HOST + "\",\"pathPrefix\":\"/draft/\",\"kind\":\"stream\","
            + "\"timeoutMs\":20000,\"targetLatencyMs\":500,\"priority\":0,\"service\":\"model\",\"maxAttempts\":2,"
            + "\"anonymous\":false,\"sessionAffinity\":true,\"resumeStreams\":true,\"targetGapMs\":200},";
        String model = "{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConnections\":1936,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":134,\"kvCapacity\":69791,\"kvTokenBytes\":845373,\"bandwidthMbps\":480000.0,\"stride\":1,"
            + "\"models\":[{\"name\":\"m\",\"pace\":1.0,\"loadS\":0.3,\"warmS\":1.0}],\"step_ms\":0.85,\"per_seq_ms\":0.0055,"
            + "\"context_per_k\":0.0073,\"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,\"report_lag_ms\":200.0,"
            + "\"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":772,\"answer\":174},\"layers\":"
            + Engine.LAYERS + ",\"layerMb\":1750.0,\"activationBytes\":42268,\"pipeMbps\":11000.0,"
            + "\"kinds\":[{\"name\":\"big\",\"mb\":72000.0,\"pace\":1.0,\"readFactor\":1.0}]}},";
        return plain.replace("\"routes\":[", "\"routes\":[" + draft).replace("\"services\":[", "\"services\":[" + model);
    }

    private static String route(String name, String prefix, String kind, int timeoutMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + Site.HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":150,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":"
            + attempts + ",\"anonymous\":false}";
    }
}

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import review.kit.Case;
import review.kit.Http;
import review.kit.Site;
import review.kit.Store;

/** A runner answers a long request before it has read it, without a length, and crashes. */
public final class Early {
    /** Within maxBodyBytes of the operator's limits, 4,194,304. */
    static final int BODY_BYTES = 4_100_000;
    static final int LINES = 10;
    static final int REQUESTS = 12;
    static final int RUNNERS = 6;
    static final int DOWN_MS = 4_500;
    static final String LAST_LINE = "booked\n";
    /** True once the one crash of the case has happened. */
    private static volatile boolean hasCrashed;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Early::holds);
    }

    private static boolean holds(Case test) throws Exception {
        Store store = new Store();
        for (int i = 1; i <= RUNNERS; i++) {
            String id = "i-desk-" + i;
            ServerSocket listener = open(0);
            Http.daemon(() -> accept(test, id, listener));
            store.write("servers/" + id, "{\"service\":\"desk\",\"address\":\"127.0.0.1:"
                    + listener.getLocalPort() + "\",\"zone\":\"zone-1\",\"version\":\"v1\","
                    + "\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":"
                    + System.currentTimeMillis() + ",\"sequence\":1}");
        }
        Site site = new Site().plain("desk")
                .route("/orders/", "unsafe", "desk", 10_000, 1_000, 1, false);
        store.write("op/config", site.text(7, Case.KEY));
        Case.RouterProcess router = test.startRouters(store.address(), 8, "zone-1").get(0);
        router.awaitReady();
        Http.sleep(3_500);
        int cut = 0;
        int whole = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = test.newId();
            try (Http.Client client = new Http.Client(router.clients)) {
                Http.Result result = client.call("POST", "/orders/1", Http.headers("Host",
                        Case.HOST, "Attempt-Id", id, "Request-Deadline", "10000", "Api-Key",
                        Case.KEY), new byte[BODY_BYTES], 12_000);
                String text = result.answer == null ? "" : result.answer.text();
                boolean looksComplete = result.status == 200 && result.isComplete;
                boolean isCut = looksComplete && !text.endsWith(LAST_LINE);
                if (isCut) cut++;
                if (looksComplete && !isCut) whole++;
                test.log("client: request " + id + ": status " + result.status + ", seal "
                        + (result.answer == null ? "none" : result.answer.header("Response-Seal"))
                        + ", " + text.length() + " bytes, " + result.end
                        + (isCut ? "  LOOKS COMPLETE, BUT IS CUT" : ""));
            }
        }
        router.copyOutput("send_failed", "answered", "refused");
        test.log("answers that were whole: " + whole + ", that looked so but were cut: " + cut);
        if (whole == 0) throw new Case.CannotRun("no answer was whole");
        if (test.hasTrouble && !hasCrashed) throw new Case.CannotRun("no runner crashed");
        return cut == 0;
    }

    private static ServerSocket open(int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.setReceiveBufferSize(65_536);
        listener.bind(new InetSocketAddress("127.0.0.1", port), 64);
        return listener;
    }

    /** Runs a runner; after a crash it is down for a while, and then back as it was. */
    private static void accept(Case test, String id, ServerSocket first) {
        ServerSocket listener = first;
        while (true) {
            try {
                Socket socket = listener.accept();
                ServerSocket own = listener;
                Http.daemon(() -> serve(test, id, socket, own));
            } catch (IOException e) {
                Http.sleep(DOWN_MS);
                try {
                    listener = open(first.getLocalPort());
                } catch (IOException taken) {
                    return;
                }
            }
        }
    }

    /**
     * The runner of a plain service. It writes its answer line by line, without a length, from the
     * head of the request on, reads the rest of the request later, and ends with its connection.
     * If it crashes, its socket closes with unread bytes, so the connection is reset.
     */
    private static void serve(Case test, String runner, Socket socket,
            ServerSocket listener) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) return;
                head.append((char) next);
            }
            String id = "";
            for (String line : head.toString().split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith("attempt-id:")) {
                    id = line.substring("attempt-id:".length()).trim();
                }
            }
            out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                    + "\r\nResponse-Seal: seal-of-" + runner + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            for (int i = 1; i <= LINES; i++) {
                out.write(("line " + i + " of " + LINES + "\n").getBytes(StandardCharsets.US_ASCII));
                Http.sleep(50);
                if (i == LINES / 2 && test.hasTrouble && !hasCrashed) {
                    hasCrashed = true;
                    test.log(runner + ": crashes while it answers " + id + ", after " + i
                            + " lines");
                    listener.close();
                    return;
                }
            }
            byte[] buffer = new byte[65_536];
            int left = BODY_BYTES;
            while (left > 0) {
                int read = in.read(buffer);
                if (read < 0) return;
                left -= read;
            }
            out.write(LAST_LINE.getBytes(StandardCharsets.US_ASCII));
            test.log(runner + ": has read and answered " + id + " in full, and closes");
        } catch (IOException e) {
            test.log(runner + ": " + e);
        }
    }
}

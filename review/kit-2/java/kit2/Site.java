package kit2;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: a store and routers as separate processes, with the
 * command and the template of deploy/system.toml. Each machine has an address of its own.
 */
public final class Site implements AutoCloseable {
    public static final String HOST = "shop.example";
    public static final String KEY = "k1aaaaaaaaaaaaaaaaaa";

    public final Store store;
    public final Path folder;
    private final String net;
    private final List<Router> routers = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = Server.now();
    private volatile boolean isClosed;

    public Site(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        folder = Files.createTempDirectory("review-2-");
        net = freeNet();
        store = new Store(net + ".200", 8223);
        store.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes a line with the time in ms to the record. */
    public synchronized void note(String text) {
        record.printf("%6d %s%n", Server.now() - startedAt, text);
        record.flush();
    }

    public String ip(int machine) {
        return net + "." + machine;
    }

    /** Settings as the template of the deploy file gives them on machine number [machine]. */
    public Router router(int machine) throws IOException {
        Router r = new Router(machine);
        routers.add(r);
        return r;
    }

    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 50; i++) {
            String net = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
            boolean free = true;
            for (int port : new int[] {8220, 8223, 8227, 7340, 9464}) {
                for (int machine : new int[] {1, 2, 3, 200}) {
                    try (ServerSocket s = new ServerSocket()) {
                        s.bind(new InetSocketAddress(InetAddress.getByName(net + "." + machine), port));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) return net;
        }
        throw new IOException("no free addresses");
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        routers.forEach(Router::kill);
        store.stop();
        record.flush();
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File f : files) f.delete();
        folder.toFile().delete();
    }

    /** A router process. */
    public final class Router {
        public final int machine;
        public final String ip;
        public Process process;
        private final Path settings;
        public final Path log;

        private Router(int machine) throws IOException {
            this.machine = machine;
            ip = ip(machine);
            settings = folder.resolve("router-" + machine + ".yaml");
            log = folder.resolve("router-" + machine + ".log");
            Files.writeString(settings, filledTemplate());
        }

        private String filledTemplate() throws IOException {
            String text = Files.readString(Path.of("deploy/router.yaml.template"));
            StringBuilder seeds = new StringBuilder();
            for (int i = 1; i < machine; i++) {
                seeds.append(i == 1 ? "" : ",").append('"').append(ip(i)).append(":8229\"");
            }
            text = text.replaceAll("(?s)\\{\\{#seedNodes}}.*\\{\\{/seedNodes}}", seeds.toString());
            String[][] values = {
                {"nodeName|json", "\"front-a-" + machine + "\""}, {"zone|json", "\"zone-a\""},
                {"listen.front|json", "\"" + ip + ":8227\""}, {"listen.ready|json", "\"" + ip + ":8220\""},
                {"ip|json", "\"" + ip + "\""}, {"internalPorts.0", "7340"},
                {"provider.address|json", "\"" + store.address() + "\""}, {"bounds.graceS", "8"},
                {"bounds.configApplyMs", "2000"}, {"bounds.drainMs", "2000"},
                {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetWindowS", "10"},
                {"bounds.retryBudgetExtra", "392"},
            };
            for (String[] v : values) text = text.replace("{{" + v[0] + "}}", v[1]);
            if (text.contains("{{")) throw new IOException("a placeholder of the template is not known: " + text);
            return text;
        }

        public Router start() throws IOException {
            synchronized (Site.this) {
                if (!isClosed) launch();
            }
            return this;
        }

        private void launch() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) throw new IOException("no run line in deploy/system.toml");
            ProcessBuilder b = new ProcessBuilder(run.group(1).split(" "));
            String path = System.getenv("PATH");
            b.environment().clear();
            b.environment().put("PATH", path);
            b.environment().put("HOME", folder.toString());
            b.environment().put("JACINTHLINK_BOOT", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = b.start();
            note("router " + machine + " started");
            process.onExit().thenAccept(p -> note("router " + machine + " ended with " + p.exitValue()));
        }

        /** Waits until the router says that it is ready. */
        public boolean awaitReady(long ms) {
            long until = Server.now() + ms;
            while (Server.now() < until) {
                if (isReady()) return true;
                Server.sleep(50);
            }
            return false;
        }

        public boolean isReady() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(ip, 8220), 500);
                s.setSoTimeout(1000);
                Server.send(s, "GET /v1/readiness HTTP/1.1\r\nHost: " + ip + "\r\n\r\n", new byte[0]);
                Http.Message m = Http.head(s.getInputStream());
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        public void signal(String name) throws IOException {
            note("router " + machine + " gets SIG" + name);
            try {
                new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        public void kill() {
            if (process == null || !process.isAlive()) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}

package review.kit;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the routers as separate processes, and the exit code. */
public final class Case implements AutoCloseable {
    public static final String KEY = "key-of-shop-one";
    public static final String HOST = "desk.example";
    /** False if the case runs without its disruption. */
    public final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintStream record;
    private final Path root;
    private final Path temporary;
    private final long startedAtMs = System.currentTimeMillis();
    private final List<RouterProcess> routers = new ArrayList<>();
    private final int octet = 1 + new Random().nextInt(250);
    private long nextId = System.nanoTime() & 0xffffff;

    /** Runs the body of a case: true if the rule held. */
    public interface Body {
        boolean holds(Case test) throws Exception;
    }

    /** Runs a case and ends this process with 0 (held), 1 (broken) or 2 (could not run). */
    public static void run(String[] arguments, Body body) throws Exception {
        int code = 2;
        Case test = new Case(Path.of(arguments[0]), Path.of(arguments[1]));
        Thread limit = new Thread(() -> {
            Http.sleep(110_000);
            test.log("the case took too long");
            test.endAll();
            Runtime.getRuntime().halt(2);
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(test::endAll));
        try {
            boolean holds = body.holds(test);
            code = holds ? 0 : 1;
            test.log(holds ? "RESULT: the rule held" : "RESULT: the rule was broken");
        } catch (CannotRun e) {
            test.log("RESULT: the case could not run: " + e.getMessage());
        } catch (Exception e) {
            test.log("RESULT: the case could not run: " + e);
            e.printStackTrace();
        } finally {
            test.close();
        }
        System.exit(code);
    }

    /** Thrown if a condition of the case does not hold, so that it shows nothing. */
    public static final class CannotRun extends RuntimeException {
        public CannotRun(String message) {
            super(message);
        }
    }

    private Case(Path root, Path folder) throws IOException {
        this.root = root;
        record = new PrintStream(Files.newOutputStream(folder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("review");
        log("trouble: " + (hasTrouble ? "yes" : "no"));
    }

    /** Milliseconds since the start of the case. */
    public long nowMs() {
        return System.currentTimeMillis() - startedAtMs;
    }

    public synchronized void log(String line) {
        record.println(String.format("%7d ms  %s", nowMs(), line));
    }

    public synchronized String newId() {
        return String.format("%016x", (nextId++ << 20) + 7);
    }

    /** A router, started with the command of the deploy file. */
    public final class RouterProcess {
        public final String name;
        public final String host;
        public final String clients;
        public final String readiness;
        private final String settings;
        private Process process;

        RouterProcess(int number, String zone, String store, List<String> seeds, int graceS)
                throws IOException {
            name = "router-" + number;
            host = host(number);
            clients = host + ":8227";
            readiness = host + ":8220";
            for (int port : new int[] {8227, 8220, 7340, 9464}) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    // The port is free.
                } catch (IOException e) {
                    throw new CannotRun("port " + port + " of " + host + " is taken");
                }
            }
            settings = """
                {"instance":"%s","availabilityZone":"%s","clients":"%s","readiness":"%s",
                 "host":"%s","peerPort":7340,"metricsPort":9464,"seeds":%s,"store":"%s",
                 "shutdownGraceS":%d,"serverDrainMs":2000,
                 "retryBudget":{"ratio":0.2,"windowS":10,"extra":392}}
                """.formatted(name, zone, clients, readiness, host, Json.text(seeds), store, graceS);
            start();
        }

        public void start() throws IOException {
            Path file = temporary.resolve(name + ".yaml");
            Files.writeString(file, settings);
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    command.addAll(List.of(text.split(" ")));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("JACINTHLINK_BOOT", file.toString());
            builder.directory(root.toFile());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output().toFile()));
            process = builder.start();
            log(name + " started");
        }

        public Path output() {
            return temporary.resolve(name + ".out");
        }

        public boolean isRunning() {
            return process.isAlive();
        }

        public int exitCode() {
            return process.exitValue();
        }

        /** Waits until the router says that it is ready. */
        public void awaitReady() {
            for (int i = 0; i < 200; i++) {
                try (Http.Client client = new Http.Client(readiness)) {
                    Http.Result result = client.call("GET", "/v1/readiness",
                            Http.headers("Host", readiness), new byte[0], 1000);
                    if (result.status == 200) {
                        log(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // It has not opened its port yet.
                }
                Http.sleep(100);
            }
            throw new CannotRun(name + " does not become ready");
        }

        public void signal(String signal) throws Exception {
            log(signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start()
                    .waitFor();
        }

        /** Copies those lines of the router's output that contain one of {@code words}. */
        public void copyOutput(String... words) {
            try (Stream<String> lines = Files.lines(output())) {
                lines.filter(line -> Stream.of(words).anyMatch(line::contains))
                        .limit(40).forEach(line -> log("  output of " + name + ": " + line));
            } catch (IOException e) {
                log("no output of " + name);
            }
        }

        void end() {
            if (process != null) process.destroyForcibly();
        }
    }

    private String host(int number) {
        return "127.77." + octet + "." + number;
    }

    /** Starts {@code count} routers, one for each of {@code zones}. */
    public List<RouterProcess> startRouters(String store, int graceS, String... zones)
            throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= zones.length; i++) seeds.add(host(i) + ":8229");
        for (int i = 1; i <= zones.length; i++) {
            routers.add(new RouterProcess(i, zones[i - 1], store, seeds, graceS));
        }
        return routers;
    }

    private void endAll() {
        for (RouterProcess router : routers) router.end();
        for (RouterProcess router : routers) {
            try {
                router.process.waitFor(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.list(temporary)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            return;
        }
        temporary.toFile().delete();
    }

    @Override
    public void close() {
        endAll();
    }
}

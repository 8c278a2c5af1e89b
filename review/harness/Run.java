import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One run of a case: its record, its node processes and its outcome. */
final class Run {
    interface Action {
        void run() throws Exception;
    }

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** Loopback network of the run, so that runs beside each other do not share a port. */
    static final String NET = System.getenv().getOrDefault("REVIEW_NET", "127.0.0.");
    static final Path ROOT = Path.of("").toAbsolutePath();
    private static final List<Node> NODES = new ArrayList<>();
    private static PrintWriter record;
    private static Path temporary;

    private Run() {}

    static void begin(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        temporary = Files.createTempDirectory("review");
        log("trouble=" + (TROUBLE ? 1 : 0));
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void log(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) (seconds * 1000)));
    }

    static Thread daemon(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                log(name + " ended: " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if it cannot tell. */
    static void end(int code, String text) {
        log("result " + code + ": " + text);
        System.out.println("result " + code + ": " + text);
        for (Node node : NODES) node.process.destroyForcibly();
        for (Node node : NODES) {
            try {
                node.process.waitFor();
                Files.deleteIfExists(node.settings);
                if (node.keepLog) System.out.println("node log: " + node.output);
                else Files.deleteIfExists(node.output);
            } catch (Exception e) {
                log("cleaning up: " + e);
            }
        }
        try {
            Files.deleteIfExists(temporary);
        } catch (IOException e) {
            log("temporary folder kept: " + e.getMessage());
        }
        System.exit(code);
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, 0));
            return socket.getLocalPort();
        }
    }

    /** A node, started with the run command and the settings template of the deploy file. */
    static final class Node {
        final String name;
        final String host;
        final String callers;
        final String readiness;
        final String directory;
        final Path settings;
        final Path output;
        Process process;
        boolean keepLog = System.getenv("KEEP_LOG") != null;

        Node(String name, String zone, String host, String store) throws IOException {
            this.name = name;
            this.host = host;
            callers = host + ":" + freePort(host);
            readiness = host + ":" + freePort(host);
            directory = host + ":" + freePort(host);
            int peer = freePort(host);
            String text = Files.readString(ROOT.resolve("deploy/settings.yaml"));
            Map<String, String> values = Map.ofEntries(
                Map.entry("node", quoted(name)), Map.entry("zone", quoted(zone)),
                Map.entry("listenAddresses.front", quoted(callers)),
                Map.entry("listenAddresses.ready", quoted(readiness)),
                Map.entry("listenAddresses.directory", quoted(directory)),
                Map.entry("ipAddress", quoted(host)),
                Map.entry("internalPorts", "[" + peer + "," + (peer + 15) + "]"),
                Map.entry("platform.address", quoted(store)),
                Map.entry("bounds.budgetRatio", "0.2"), Map.entry("bounds.budgetSlack", "198"),
                Map.entry("bounds.budgetWindowS", "10"), Map.entry("bounds.revokeMs", "5000"),
                Map.entry("bounds.graceS", "8"), Map.entry("bounds.ttl_max_s", "5"),
                Map.entry("bounds.drainMs", "2000"),
                Map.entry("bounds.configPropagationMs", "2000"),
                Map.entry("bounds.stableWindowMs", "3000"),
                Map.entry("limits.processorShare", "0.75"),
                Map.entry("limits.linkMbps", "1000.0"));
            for (Map.Entry<String, String> e : values.entrySet()) {
                text = text.replace("{{" + e.getKey() + "|json}}", e.getValue());
            }
            settings = temporary.resolve(name + ".yaml");
            output = temporary.resolve(name + ".log");
            Files.writeString(settings, text);
            start();
            NODES.add(this);
        }

        private static String quoted(String text) {
            return '"' + text + '"';
        }

        void start() throws IOException {
            String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
            String command = null;
            for (String line : deploy.split("\n")) {
                if (line.startsWith("run = ")) {
                    command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.directory(ROOT.toFile());
            builder.environment().put("BRAMLEYTRESTLE_BOOT", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(
                ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            log(name + " started, pid " + process.pid());
        }

        /** Sends a signal by its name, to this process only. */
        void signal(String signal) throws IOException, InterruptedException {
            log(name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = connect(readiness, 500)) {
                Wire.write(socket.getOutputStream(),
                    "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                socket.setSoTimeout(1000);
                return Wire.readHead(socket.getInputStream()).status() == 200;
            } catch (Exception e) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    log(name + " is ready");
                    return;
                }
                sleep(0.1);
            }
            end(2, name + " did not become ready");
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.substring(0, colon),
            Integer.parseInt(address.substring(colon + 1))), timeoutMillis);
        return socket;
    }
}

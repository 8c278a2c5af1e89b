import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Configuration and backend servers like those of the site ndvg-rota, with fewer servers. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String MODEL_PATH = "/lohu930/2f";
    static final String UNSAFE_PATH = "/puxa403/2f";
    static final String SAFE_PATH = "/cufi504/fi50/2f";
    static final String MODEL = "huvo11a";
    static final String PLAIN = "wuno96b";

    private Site() {}

    /**
     * The operator's configuration; the shapes and figures are those that the bench prints. Without
     * keys it has no tenant.
     */
    static String config(int version, String... keys) {
        StringBuilder credentials = new StringBuilder();
        for (String key : keys) {
            if (credentials.length() > 0) credentials.append(',');
            credentials.append('"').append(key).append('"');
        }
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-2yhvz3p\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/lohu930/\","
            + "\"kind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":500,\"priority\":1,"
            + "\"service\":\"" + MODEL + "\",\"attempts\":2,\"publicAccess\":false,"
            + "\"sessionAffinity\":true,\"resumable\":true,\"gapTargetMs\":200},"
            + "{\"name\":\"r-fi6y7z5\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/puxa403/\","
            + "\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":100,\"priority\":2,"
            + "\"service\":\"" + PLAIN + "\",\"attempts\":2,\"publicAccess\":false},"
            + "{\"name\":\"r-xo2kk1\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/cufi504/\","
            + "\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":100,\"priority\":2,"
            + "\"service\":\"" + PLAIN + "\",\"attempts\":2,\"publicAccess\":false}],"
            + "\"services\":[{\"name\":\"" + MODEL + "\",\"healthPath\":\"/health\","
            + "\"maxConnections\":988,\"protocol\":\"h1\",\"transportSecurity\":false,"
            + "\"engine\":{\"slots\":134,\"cacheTokens\":69791,\"kvTokenBytes\":845373,"
            + "\"linkMbps\":480000.0,\"stride\":2,\"models\":[{\"name\":\"daka510000\","
            + "\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}],\"step_ms\":0.85,"
            + "\"per_seq_ms\":0.005473,\"context_per_k\":0.007336,\"read_per_s\":196000.0,"
            + "\"pairs_per_m\":0.166,\"chunk\":512,\"report_lag_ms\":200.0,\"loadsPerS\":0.0,"
            + "\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":772,\"answer\":172},"
            + "\"layers\":80,\"layerMb\":1750.0,\"activationBytes\":42268,"
            + "\"crossZoneMbps\":9000.0,\"kinds\":[{\"name\":\"h100\",\"sizeMb\":72000.0,"
            + "\"pace\":1.4,\"readFactor\":1.0}]}},"
            + "{\"name\":\"" + PLAIN + "\",\"healthPath\":\"/health\",\"maxConnections\":49,"
            + "\"protocol\":\"h1\",\"transportSecurity\":false}],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},"
            + "\"tenants\":[" + (keys.length == 0 ? "" : "{\"name\":\"hule930\",\"credentials\":["
            + credentials + "],\"priority\":1}") + "]}";
    }

    /** What a server does with a request that it runs. */
    interface Work {
        /** Answers; returns whether the connection stays open. */
        boolean answer(Server server, Wire.Head request, byte[] body, InputStream in,
            OutputStream out) throws Exception;
    }

    /** A backend server. It registers itself in the store and refreshes its entry. */
    static final class Server {
        final Store store;
        final String id;
        final String service;
        final String zone;
        final int slots;
        volatile int from;
        volatile int until;
        final boolean model;
        volatile long born = System.currentTimeMillis();
        volatile ServerSocket listener = new ServerSocket();
        private final String host;
        private final int port;
        final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        final AtomicInteger running = new AtomicInteger();
        final List<String> ran = new CopyOnWriteArrayList<>();
        volatile Work work;
        volatile boolean up = true;
        volatile String state = "ready";
        volatile int sequence = 1;

        Server(Store store, String id, String service, String zone, String host, int slots,
                int from, int until, Work work) throws IOException {
            this.store = store;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.from = from;
            this.until = until;
            this.work = work;
            this.host = host;
            model = until > 0;
            listener.bind(new InetSocketAddress(host, 0), 200);
            port = listener.getLocalPort();
            open();
            Run.daemon(id + "-beat", () -> {
                while (true) {
                    Run.sleep(1.2);
                    if (up) register();
                }
            });
        }

        private void open() {
            ServerSocket own = listener;
            register();
            Run.daemon(id, () -> {
                while (own == listener && up) {
                    Socket socket;
                    try {
                        socket = own.accept();
                    } catch (IOException e) {
                        return;
                    }
                    connections.add(socket);
                    Run.daemon(id + "-connection", () -> serve(socket));
                }
            });
        }

        String address() {
            return host + ":" + port;
        }

        synchronized void register() {
            String layers = !model ? "" : ",\"kind\":\"h100\",\"layers\":{\"from\":" + from
                + ",\"to\":" + until + ",\"version\":1},\"stage\":\"both\",\"models\":["
                + "{\"name\":\"daka510000\",\"version\":1,\"adapters\":[]}]";
            store.put("servers", id, Wire.parse("{\"service\":\"" + service + "\",\"address\":\""
                + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"born\":" + born
                + ",\"sequence\":" + sequence + layers + "}"));
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                OutputStream out = socket.getOutputStream();
                while (up) {
                    socket.setSoTimeout(0);
                    Wire.Head head = Wire.readHead(in);
                    if (head == null) return;
                    byte[] body = Wire.readBody(in, head);
                    socket.setSoTimeout(10);
                    if (!handle(head, body, in, out)) return;
                }
            } catch (Exception e) {
                // The node closed its connection, or this server has ended.
            } finally {
                connections.remove(socket);
            }
        }

        private boolean handle(Wire.Head head, byte[] body, InputStream in, OutputStream out)
                throws Exception {
            String expected = head.get("X-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                Wire.answer(out, "421 Misdirected Request", "X-Instance: " + id + "\r\n", "");
                return true;
            }
            if (head.target().equals("/-/report")) {
                Wire.answer(out, "200 OK", "Content-Type: application/json\r\n",
                    "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":" + sequence
                    + ",\"waiting\":0,\"running\":" + running.get() + ",\"cacheUsed\":0,"
                    + "\"cacheTotal\":90000,\"handles\":0,\"born\":" + born + "}");
                return true;
            }
            if (head.target().equals("/-/order")) {
                order(new String(body, StandardCharsets.UTF_8), out);
                return true;
            }
            String request = head.get("X-Request-Id");
            if (running.get() >= slots) {
                Wire.answer(out, "503 Service Unavailable",
                    "X-Request-Id: " + request + "\r\nX-Not-Executed: 1\r\n", "");
                return true;
            }
            running.incrementAndGet();
            ran.add(request);
            Run.log(id + " runs " + request);
            try {
                return work.answer(this, head, body, in, out);
            } finally {
                running.decrementAndGet();
            }
        }

        /** Takes a place order and loads the layers in the time that the configuration states. */
        @SuppressWarnings("unchecked")
        private void order(String text, OutputStream out) throws IOException {
            Map<String, Object> order = (Map<String, Object>) Wire.parse(text);
            Object expected = order.get("precondition");
            if (expected != null && !expected.toString().equals("" + sequence)) {
                Run.log(id + " refuses order " + text);
                Wire.answer(out, "409 Conflict", "", "{}");
                return;
            }
            int first = Integer.parseInt(order.get("from").toString());
            int last = Integer.parseInt(order.get("to").toString());
            if (first == from && last == until) {
                Wire.answer(out, "200 OK", "", "{}");
                return;
            }
            sequence++;
            Run.log(id + " begins order " + text);
            long start = born;
            Wire.answer(out, "202 Accepted", "", "{}");
            Run.daemon(id + "-load", () -> {
                Run.sleep(14.0 * (last - first) / 80);
                if (start != born || !up) return;
                from = first;
                until = last;
                register();
                Run.log(id + " holds " + first + "-" + last);
            });
        }

        /** Ends the server as a crash does: all connections break and nothing listens. */
        synchronized void crash() throws IOException {
            if (!up) return;
            up = false;
            Run.log(id + " crashes");
            listener.close();
            for (Socket socket : connections) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    Run.log(id + " connection: " + e);
                }
            }
            connections.clear();
        }

        /** Starts the server again, empty, under the identifier and address that it had. */
        synchronized void restart() throws IOException {
            born = System.currentTimeMillis();
            from = 0;
            until = 0;
            sequence = 0;
            running.set(0);
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port), 200);
            up = true;
            Run.log(id + " starts again");
            open();
        }

        /** Whether the caller has closed the connection of a request; waits 10 ms for it. */
        boolean hasClosed(InputStream in) throws IOException {
            in.mark(1);
            try {
                int next = in.read();
                if (next < 0) return true;
                in.reset();
            } catch (java.net.SocketTimeoutException e) {
                return false;
            }
            return false;
        }

        String answerHeaders(Wire.Head request) {
            return "X-Request-Id: " + request.get("X-Request-Id") + "\r\nX-Response-Seal: "
                + id + ".1\r\nX-Weight-Versions: 1\r\nX-Server-Load: " + running.get() + ",0,"
                + slots + "\r\n";
        }
    }

    /** A stream of events with increasing ids, in chunks. */
    static Work stream(int events, int gapMillis) {
        return stream(events, gapMillis, 0);
    }

    static Work stream(int events, int gapMillis, int readMillis) {
        return (server, request, body, in, out) -> {
            Thread.sleep(readMillis);
            String last = request.get("Last-Event-Id");
            int next = last == null ? 1 : Integer.parseInt(last) + 1;
            Wire.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + server.answerHeaders(request) + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = next; i <= events; i++) {
                Thread.sleep(gapMillis);
                String event = "id: " + i + "\ndata: " + "t".repeat(52) + "\n\n";
                Wire.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            Wire.write(out, "0\r\n\r\n");
            return true;
        };
    }

    /** A short answer after some time. */
    static Work plain(int workMillis) {
        return (server, request, body, in, out) -> {
            Thread.sleep(workMillis);
            Wire.answer(out, "200 OK", "Content-Type: application/json\r\n"
                + server.answerHeaders(request), "{\"done\":\"" + request.get("X-Request-Id")
                + "\",\"fill\":\"" + "x".repeat(740) + "\"}");
            return true;
        };
    }

    /** What a client got for one request. */
    static final class Answer {
        int status;
        Wire.Head head;
        byte[] body = new byte[0];
        /** Whether the answer is complete by its framing. */
        boolean complete;
        /** How the body was framed: length, chunks or the end of the connection. */
        String framing = "none";
        String error;
        double sentAt;
        double endedAt;

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        int events() {
            int count = 0;
            for (int i = text().indexOf("\n\n"); i >= 0; i = text().indexOf("\n\n", i + 2)) count++;
            return count;
        }
    }

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(String address) throws IOException {
            socket = Run.connect(address, 1000);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
        }

        static String head(String method, String path, String id, String key, int deadlineMillis,
                String more, int length) {
            return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Milliseconds: " + deadlineMillis + "\r\nAuthorization: Token "
                + key + "\r\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
        }

        static String prompt(String id) {
            return "X-Model: daka510000\r\nX-Token-Counts: 800,430\r\n"
                + "X-Prompt-Prefix: 5c1e07a2:40," + id + ":760\r\n";
        }

        Answer send(String method, String path, String id, int deadlineMillis, String more,
                String body) {
            Answer answer = new Answer();
            answer.sentAt = Run.seconds();
            try {
                socket.setSoTimeout(deadlineMillis + 2000);
                Wire.write(socket.getOutputStream(), head(method, path, id, KEY, deadlineMillis,
                    more, body.length()) + body);
                read(answer);
            } catch (Exception e) {
                answer.error = e.toString();
            }
            answer.endedAt = Run.seconds();
            return answer;
        }

        private void read(Answer answer) throws IOException {
            answer.head = Wire.readHead(in);
            if (answer.head == null) throw new IOException("closed without an answer");
            answer.status = answer.head.status();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                if ("chunked".equalsIgnoreCase(answer.head.get("Transfer-Encoding"))) {
                    answer.framing = "chunks";
                    byte[] chunk;
                    while ((chunk = Wire.readChunk(in)).length > 0) body.write(chunk);
                } else if (answer.head.get("Content-Length") != null) {
                    answer.framing = "length";
                    body.write(Wire.readBody(in, answer.head));
                } else {
                    answer.framing = "end of connection";
                    byte[] part = new byte[4096];
                    int count;
                    while ((count = in.read(part)) >= 0) body.write(part, 0, count);
                }
                answer.complete = true;
            } finally {
                answer.body = body.toByteArray();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Writes the configuration as the operator does. */
    static long configure(Store store, int version, String... keys) {
        long revision = store.put("config", "main", Wire.parse(config(version, keys)));
        Run.log("configuration " + version + " acknowledged, keys " + List.of(keys));
        return revision;
    }

    /** Copies a, b and so on of the model, each on four servers of one zone with 20 layers each. */
    static Map<String, Server> modelServers(Store store, Work work, int copies)
            throws IOException {
        Map<String, Server> servers = new LinkedHashMap<>();
        for (int copy = 0; copy < copies; copy++) {
            char letter = (char) ('a' + copy);
            for (int i = 0; i < 4; i++) {
                String name = "" + letter + (i + 1);
                servers.put(name, new Server(store, "i-" + name, MODEL, "kafr-" + letter,
                    Run.NET + "20", 134, i * 20, i * 20 + 20, work));
            }
        }
        return servers;
    }
}

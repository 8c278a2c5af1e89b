import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients leave streams of a service without layers whose servers have turned slow. With a second
 * argument the service has layers.
 */
public final class Case5 {
    private static final int EVENTS = 20;
    private static final int GAP_MILLIS = 200;
    private static final int SLOW = 12;

    /** Clients abandon a stream after a gap of two seconds. */
    private static final int CLIENT_GAP_MILLIS = 2000;
    private static final int STREAMS = 20;
    private static final int SERVERS = 5;
    private static final int SLOW_SERVERS = 2;

    private static final Set<String> SLOW_IDS = ConcurrentHashMap.newKeySet();
    private static final Map<String, Double> LEFT = new ConcurrentHashMap<>();
    private static final Map<String, Double> WORKED_UNTIL = new ConcurrentHashMap<>();
    private static final List<String> COMPLETE = new CopyOnWriteArrayList<>();

    private Case5() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        boolean layers = args.length > 1;
        Store store = new Store("127.0.0.10");
        String config = Site.config(7, Site.KEY);
        if (!layers) {
            config = config.replace("\"service\":\"" + Site.MODEL + "\"",
                "\"service\":\"" + Site.PLAIN + "\"");
        }
        store.put("config", "main", Wire.parse(config));
        Site.Work work = (server, request, body, in, out) -> {
            String id = request.get("X-Request-Id");
            try {
                Wire.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + server.answerHeaders(request) + "Transfer-Encoding: chunked\r\n\r\n");
                for (int i = 1; i <= EVENTS; i++) {
                    long until = System.nanoTime()
                        + GAP_MILLIS * 1_000_000L * (SLOW_IDS.contains(server.id) ? SLOW : 1);
                    while (System.nanoTime() < until) {
                        Thread.sleep(20);
                        // A server drops a request when its connection closes.
                        if (server.hasClosed(in)) return false;
                    }
                    String event = "id: " + i + "\ndata: " + "t".repeat(52) + "\n\n";
                    Wire.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                }
                Wire.write(out, "0\r\n\r\n");
                return false;
            } finally {
                WORKED_UNTIL.put(id, Run.seconds());
                Run.log(server.id + " ends " + id);
            }
        };
        List<Site.Server> servers = new ArrayList<>();
        if (layers) {
            servers.addAll(Site.modelServers(store, work, SERVERS).values());
            servers.removeIf(server -> server.from > 0);
        }
        for (int i = 0; !layers && i < SERVERS; i++) {
            servers.add(new Site.Server(store, "i-p" + (i + 1), Site.PLAIN, "kafr-a", "127.0.0.20",
                60, 0, 0, work));
        }
        Run.Node node = new Run.Node("front-kafr-a-1", "kafr-a", "127.0.0.11", store.address());
        node.awaitReady();
        Run.sleep(2);

        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            clients.add(Run.daemon(id, () -> watch(node, id)));
            Run.sleep(0.1);
        }
        if (Run.TROUBLE) {
            for (int i = 0; i < SLOW_SERVERS; i++) SLOW_IDS.add(servers.get(i).id);
            Run.log("servers turn slow: " + SLOW_IDS);
            Run.sleep(9);
            SLOW_IDS.clear();
        }
        for (Thread client : clients) client.join(15_000);
        Run.sleep(3);

        int late = 0;
        for (Map.Entry<String, Double> left : LEFT.entrySet()) {
            double worked = WORKED_UNTIL.getOrDefault(left.getKey(), Run.seconds());
            if (worked > left.getValue() + 0.5) late++;
        }
        if (LEFT.size() + COMPLETE.size() < STREAMS) Run.end(2, "streams failed otherwise");
        Run.end(late * 4 > LEFT.size() ? 1 : 0, "servers worked longer than 0.5 s on " + late
            + " of " + LEFT.size() + " streams that clients had left; " + COMPLETE.size()
            + " complete");
    }

    private static void watch(Run.Node node, String id) throws Exception {
        Socket socket = Run.connect(node.callers, 1000);
        socket.setSoTimeout(CLIENT_GAP_MILLIS);
        InputStream in = socket.getInputStream();
        Run.log(id + " sent");
        Wire.write(socket.getOutputStream(), Site.Client.head("POST", Site.MODEL_PATH, id,
            Site.KEY, 20000, Site.Client.prompt("0" + id.substring(7)), 1) + "x");
        try {
            Wire.Head head = Wire.readHead(in);
            int events = 0;
            if (head.status() == 200) {
                while (Wire.readChunk(in).length > 0) events++;
                COMPLETE.add(id);
            }
            Run.log(id + " answered: status=" + head.status() + " events=" + events);
        } catch (SocketTimeoutException e) {
            LEFT.put(id, Run.seconds());
            Run.log(id + " left by its client");
        }
        socket.close();
    }
}

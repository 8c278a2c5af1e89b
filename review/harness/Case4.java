import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** One request, with parts that all nodes have answered before, crashes each server that runs it. */
public final class Case4 {
    private static final String SHARED = "5c1e07a2";
    private static final String CRASHING = "dead00aa";
    private static final double STABLE_WINDOW_S = 3;

    /** As on the site: three, four and two machines in the zones. */
    private static final int[] NODES = {3, 4, 2};

    private record Arrival(String id, double sentAt, double at) {}

    private static final List<Arrival> ARRIVALS = new CopyOnWriteArrayList<>();
    private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicInteger NUMBER = new AtomicInteger();
    private static volatile boolean open = true;

    private Case4() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        Store store = new Store(Run.NET + "10");
        // The streams of this route may not be resumed, so that they are sent once only.
        store.put("config", "main", Wire.parse(
            Site.config(7, Site.KEY).replace("\"resumable\":true", "\"resumable\":false")));
        Site.Work sound = Site.stream(20, 60, 100);
        Site.Work work = (server, request, body, in, out) -> {
            if (!request.get("X-Prompt-Prefix").contains(CRASHING)) {
                return sound.answer(server, request, body, in, out);
            }
            String id = request.get("X-Request-Id");
            ARRIVALS.add(new Arrival(id, Double.parseDouble(id.split("@")[1]), Run.seconds()));
            Thread.sleep(100);
            CRASHES.add(Run.seconds());
            Run.daemon("restart", () -> {
                server.crash();
                Run.sleep(2);
                server.restart();
            });
            return false;
        };
        for (int copy = 0; copy < 5; copy++) {
            for (int i = 0; i < 4; i++) {
                new Site.Server(store, "i-" + (char) ('a' + copy) + (i + 1), Site.MODEL,
                    "kafr-" + (char) ('a' + copy % 3), Run.NET + "20", 134, i * 20, i * 20 + 20, work);
            }
        }
        List<Run.Node> nodes = new ArrayList<>();
        for (int zone = 0; zone < NODES.length; zone++) {
            for (int i = 1; i <= NODES[zone]; i++) {
                char letter = (char) ('a' + zone);
                nodes.add(new Run.Node("front-kafr-" + letter + "-" + i, "kafr-" + letter,
                    Run.NET + (11 + nodes.size()), store.address()));
            }
        }
        for (Run.Node node : nodes) node.awaitReady();
        Run.sleep(4);

        for (int i = 0; i < 3 * nodes.size(); i++) {
            Run.Node node = nodes.get(i % nodes.size());
            Run.daemon("client", () -> {
                while (open) {
                    try (Site.Client client = new Site.Client(node.callers)) {
                        String own = "0" + Integer.toHexString(0x1000 + NUMBER.incrementAndGet());
                        send(client, node.name, "sound-" + NUMBER.incrementAndGet(), own, own);
                    }
                    Run.sleep(0.2);
                }
            });
        }
        Run.sleep(5);
        for (int i = 0; Run.TROUBLE && i < 11; i++) {
            Run.Node node = nodes.get(i % nodes.size());
            Run.daemon("repeat", () -> {
                try (Site.Client client = new Site.Client(node.callers)) {
                    String id = String.format("crashing-%d@%.3f", NUMBER.incrementAndGet(),
                        Run.seconds());
                    send(client, node.name, id, CRASHING, "the same");
                }
            });
            Run.sleep(1.8);
        }
        if (!Run.TROUBLE) Run.sleep(10);
        open = false;
        Run.sleep(3);

        Run.log("crashes at " + CRASHES);
        int late = 0;
        for (Arrival arrival : ARRIVALS) {
            if (CRASHES.size() >= 3 && arrival.sentAt > CRASHES.get(2) + STABLE_WINDOW_S) late++;
        }
        Run.end(late > 3 ? 1 : 0, late + " retries of the request reached servers that were sent "
            + "later than stableWindowMs after its third crash, of " + CRASHES.size() + " crashes");
    }

    private static void send(Site.Client client, String node, String id, String own, String body) {
        Run.log(id + " sent to " + node);
        Site.Answer answer = client.send("POST", Site.MODEL_PATH, id, 20000,
            "X-Model: daka510000\r\nX-Token-Counts: 800,40\r\nX-Prompt-Prefix: " + SHARED + ":40,"
            + own + ":760\r\n", body);
        Run.log(id + " answered: status=" + answer.status + " events=" + answer.events()
            + " complete=" + answer.complete + " error=" + answer.error
            + (answer.status == 200 ? "" : " " + answer.text()));
    }
}

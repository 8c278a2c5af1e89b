import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Prompts of more than 64 parts, one of which crashes model servers. */
public final class Case3 {
    private static final String CRASHING = "dead00aa";
    private static final int PARTS = 70;
    private static final double STABLE_WINDOW_S = 3;

    private record Arrival(String id, double sentAt, double at) {}

    private static final List<Arrival> ARRIVALS = new CopyOnWriteArrayList<>();
    private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicInteger NUMBER = new AtomicInteger();

    private Case3() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        Store store = new Store(Run.NET + "10");
        Site.configure(store, 7, Site.KEY);
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
                    copy < 3 ? "kafr-a" : "kafr-b", Run.NET + "20", 134, i * 20, i * 20 + 20, work);
            }
        }
        List<Run.Node> nodes = new ArrayList<>();
        nodes.add(new Run.Node("front-kafr-a-1", "kafr-a", Run.NET + "11", store.address()));
        nodes.add(new Run.Node("front-kafr-b-1", "kafr-b", Run.NET + "12", store.address()));
        for (Run.Node node : nodes) node.awaitReady();
        Run.sleep(4);

        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 220; i++) {
            Run.Node node = nodes.get(i / 2 % nodes.size());
            boolean crashing = Run.TROUBLE && i % 20 == 10;
            clients.add(Run.daemon("client", () -> {
                try (Site.Client client = new Site.Client(node.callers)) {
                    send(client, node.name, crashing);
                }
            }));
            Run.sleep(0.1);
        }
        for (Thread client : clients) client.join(10_000);

        Run.log("crashes at " + CRASHES);
        if (Run.TROUBLE && CRASHES.size() < 5) {
            Run.end(0, CRASHES.size() + " crashes only");
        }
        int late = 0;
        for (Arrival arrival : ARRIVALS) {
            if (arrival.at > CRASHES.get(4) + STABLE_WINDOW_S) late++;
        }
        Run.end(late > 3 ? 1 : 0, late + " requests with the crashing part reached servers later "
            + "than stableWindowMs after the fifth crash, of " + CRASHES.size() + " crashes");
    }

    private static void send(Site.Client client, String node, boolean crashing) {
        int number = NUMBER.incrementAndGet();
        String id = (crashing ? "crashing-" : "sound-") + number + "@"
            + String.format("%.3f", Run.seconds());
        StringBuilder prompt = new StringBuilder();
        for (int i = 1; i < PARTS; i++) {
            prompt.append(crashing && i == 5 ? CRASHING : Integer.toHexString(0x5c1e0700 + i));
            prompt.append(":10,");
        }
        prompt.append("0").append(Integer.toHexString(0x1000 + number)).append(":110");
        Run.log(id + " sent to " + node);
        Site.Answer answer = client.send("POST", Site.MODEL_PATH, id, 20000,
            "X-Model: daka510000\r\nX-Token-Counts: 800,40\r\nX-Prompt-Prefix: " + prompt + "\r\n",
            "{\"prompt\":" + number + "}");
        Run.log(id + " answered: status=" + answer.status + " events=" + answer.events()
            + " complete=" + answer.complete + " error=" + answer.error
            + (answer.status == 200 ? "" : " " + answer.text()));
    }
}

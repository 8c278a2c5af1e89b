import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Sound prompts that share their first part with prompts that crash model servers. */
public final class Case2 {
    private static final String SHARED = "5c1e07a2";
    private static final String CRASHING = "dead00aa";
    private static final int EVENTS = 20;
    private static final int GAP_MILLIS = 60;
    private static final int READ_MILLIS = 100;
    private static final double CALM_S = 10;
    private static final double STABLE_WINDOW_S = 3;
    private static final int NODES = 4;
    private static final int BATCH = 60;

    private record Sent(String id, double at) {}

    private static final List<Sent> SOUND = new CopyOnWriteArrayList<>();
    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();
    private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicInteger NUMBER = new AtomicInteger();
    private static volatile boolean open = true;

    private Case2() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        Store store = new Store(Run.NET + "10");
        Site.configure(store, 7, Site.KEY);
        Site.Work sound = Site.stream(EVENTS, GAP_MILLIS, READ_MILLIS);
        Site.Work work = (server, request, body, in, out) -> {
            String prompt = request.get("X-Prompt-Prefix");
            if (prompt == null || !prompt.contains(CRASHING)) {
                RAN.add(request.get("X-Request-Id"));
                return sound.answer(server, request, body, in, out);
            }
            Thread.sleep(READ_MILLIS);
            CRASHES.add(Run.seconds());
            Run.daemon("restart", () -> {
                server.crash();
                Run.sleep(3);
                server.restart();
            });
            return false;
        };
        for (int copy = 0; copy < 4; copy++) {
            for (int i = 0; i < 4; i++) {
                new Site.Server(store, "i-" + (char) ('a' + copy) + (i + 1), Site.MODEL, "kafr-a",
                    Run.NET + "20", 134, i * 20, i * 20 + 20, work);
            }
        }
        List<Run.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= NODES; i++) {
            nodes.add(new Run.Node("front-kafr-a-" + i, "kafr-a", Run.NET + (10 + i),
                store.address()));
        }
        for (Run.Node node : nodes) node.awaitReady();
        Run.sleep(5);

        // Clients with connections to the fourth node that stay open.
        for (int i = 0; i < 6; i++) {
            Run.Node node = nodes.get(3);
            Run.daemon("client", () -> {
                Site.Client client = new Site.Client(node.callers);
                while (open) {
                    Site.Answer answer = sound(client);
                    if (!answer.complete || "close".equalsIgnoreCase(answer.head.get("Connection"))) {
                        client.close();
                        client = new Site.Client(node.callers);
                    }
                    if (answer.status != 200) Run.sleep(0.5);
                }
            });
        }
        double calmFrom = Run.seconds();
        Run.sleep(CALM_S);
        double calmUntil = Run.seconds();

        // Another client of the same caller sends a batch to the third node.
        Run.log("batch of prompts to " + nodes.get(2).name);
        for (int i = 0; i < BATCH; i++) {
            boolean crashing = Run.TROUBLE && i % 20 == 10;
            Run.daemon("batch", () -> {
                try (Site.Client client = new Site.Client(nodes.get(2).callers)) {
                    if (crashing) crashing(client);
                    else sound(client);
                }
            });
        }
        // Prompts with the crashing part still come, at any node.
        for (int i = 0; i < 22; i++) {
            Run.sleep(1);
            if (i % 4 != 3) continue;
            if (!Run.TROUBLE) continue;
            Run.Node node = nodes.get(i / 4 % NODES);
            Run.daemon("crashing", () -> {
                try (Site.Client client = new Site.Client(node.callers)) {
                    crashing(client);
                }
            });
        }
        open = false;
        double end = Run.seconds() - 1;
        Run.sleep(2);

        Run.log("crashes at " + CRASHES);
        double fifth = CRASHES.isEmpty() ? calmUntil
            : CRASHES.get(Math.min(4, CRASHES.size() - 1));
        double from = fifth + 2 * STABLE_WINDOW_S;
        double calm = share("outside the disruption", calmFrom, calmUntil - 1);
        double after = share("from 2 x stableWindowMs after the crashes", from, end);
        if (calm < 0 || after < 0) Run.end(2, "fewer than 20 requests");
        Run.end(after < calm / 2 ? 1 : 0, String.format(
            "%.2f of the sound requests began before, %.2f after", calm, after));
    }

    private static double share(String what, double from, double until) {
        int sent = 0;
        int ran = 0;
        for (Sent request : SOUND) {
            if (request.at < from || request.at > until) continue;
            sent++;
            if (RAN.contains(request.id)) ran++;
        }
        Run.log(what + ": " + sent + " sound requests sent, " + ran + " began");
        return sent < 20 ? -1 : (double) ran / sent;
    }

    private static Site.Answer sound(Site.Client client) {
        String id = "sound-" + NUMBER.incrementAndGet();
        SOUND.add(new Sent(id, Run.seconds()));
        return send(client, id, "X-Prompt-Prefix: " + SHARED + ":40," + own() + ":760\r\n");
    }

    private static void crashing(Site.Client client) {
        String id = "crashing-" + NUMBER.incrementAndGet();
        send(client, id, "X-Prompt-Prefix: " + SHARED + ":40," + CRASHING + ":100," + own()
            + ":660\r\n");
    }

    private static String own() {
        return "0" + Integer.toHexString(0x1000 + NUMBER.incrementAndGet());
    }

    private static Site.Answer send(Site.Client client, String id, String prompt) {
        Site.Answer answer = client.send("POST", Site.MODEL_PATH, id, 20000,
            "X-Model: daka510000\r\nX-Token-Counts: 800,40\r\n" + prompt, "x");
        Run.log(id + " answered: status=" + answer.status + " events=" + answer.events()
            + " complete=" + answer.complete + " error=" + answer.error
            + (answer.status == 200 ? "" : " " + answer.text()));
        return answer;
    }
}

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients send large bodies, within the limits of the configuration, at the same time. */
public final class Case5 {
    private static final int UPLOADS = 86;

    /** A little less than the `bodyBytes` of the configuration, 4,194,304. */
    private static final int BODY_BYTES = 4_190_000;
    private static final int PART_BYTES = 50_000;

    /** 0.5 MB a second and client, together a third of the link. */
    private static final int PART_MILLIS = 100;
    private static final int READERS = 16;

    /** The `timeoutMs` of the route, and the half second that the rule adds. */
    private static final double TIMEOUT_S = 1.5;
    private static final double MARGIN_S = 0.5;

    private Case5() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        Store store = new Store(Run.NET + "10");
        Site.configure(store, 7, Site.KEY);
        Site.modelServers(store, Site.stream(20, 27, 50), 3);
        for (String zone : List.of("kafr-a", "kafr-b", "kafr-c")) {
            new Site.Server(store, "i-" + zone, Site.PLAIN, zone, Run.NET + "20", 6, 0, 0,
                Site.plain(15));
        }
        Run.Node node = new Run.Node("front-kafr-a-1", "kafr-a", Run.NET + "11", store.address());
        Run.Node other = new Run.Node("front-kafr-b-1", "kafr-b", Run.NET + "12", store.address());
        node.awaitReady();
        other.awaitReady();
        Run.sleep(2);

        List<Site.Answer> answers = new CopyOnWriteArrayList<>();
        AtomicInteger number = new AtomicInteger();
        for (int i = 0; i < READERS; i++) {
            Run.daemon("reader", () -> {
                Site.Client client = new Site.Client(node.callers);
                while (true) {
                    String id = "read-" + number.incrementAndGet();
                    Site.Answer answer = client.send("GET", Site.SAFE_PATH, id, 5000, "", "");
                    answers.add(answer);
                    Run.log(id + String.format(" sent at %.3f, answered after %.3f s: status=%d "
                        + "error=%s", answer.sentAt, answer.endedAt - answer.sentAt,
                        answer.status, answer.error));
                    if (!answer.complete) {
                        client.close();
                        client = new Site.Client(node.callers);
                    }
                    Run.sleep(0.5);
                }
            });
        }
        Run.sleep(3);
        double from = Run.seconds();
        byte[] part = "z".repeat(PART_BYTES).getBytes();
        for (int i = 0; Run.TROUBLE && i < UPLOADS; i++) {
            String id = "large-" + i;
            Run.daemon(id, () -> {
                try (Site.Client client = new Site.Client(node.callers)) {
                    client.socket.setSoTimeout(20_000);
                    OutputStream out = client.socket.getOutputStream();
                    Run.log(id + " begins to send " + BODY_BYTES + " bytes");
                    Wire.write(out, Site.Client.head("POST", Site.MODEL_PATH, id, Site.KEY, 20000,
                        Site.Client.prompt("0" + (1000 + number.incrementAndGet())), BODY_BYTES));
                    for (int at = 0; at < BODY_BYTES; at += PART_BYTES) {
                        out.write(part, 0, Math.min(PART_BYTES, BODY_BYTES - at));
                        Thread.sleep(PART_MILLIS);
                    }
                    Wire.Head head = Wire.readHead(client.in);
                    Run.log(id + " answered: " + (head == null ? "closed" : head.startLine));
                } catch (Exception e) {
                    Run.log(id + " failed: " + e);
                }
            });
        }
        Run.sleep(30);

        int open = 0;
        int late = 0;
        for (Site.Answer answer : answers) {
            if (answer.sentAt < from) continue;
            double took = answer.endedAt - answer.sentAt;
            if (took > TIMEOUT_S) open++;
            if (took > TIMEOUT_S + MARGIN_S) late++;
        }
        Run.log("node is " + (node.process.isAlive() ? "alive" : "gone") + ", ready "
            + node.isReady());
        Run.end(open >= 8 && late * 2 > open ? 1 : 0, late + " of " + open
            + " requests that were unanswered at timeoutMs had no answer 0.5 s later, of "
            + answers.size() + " requests");
    }
}

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator takes away the keys of the only tenant, and the tenant with them. */
public final class Case4 {
    private static final double REVOKE_S = 5;

    private Case4() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        Store store = new Store("127.0.0.10");
        Site.configure(store, 7, Site.KEY);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Site.Work plain = Site.plain(15);
        Site.Work work = (server, request, body, in, out) -> {
            ran.add(request.get("X-Request-Id"));
            return plain.answer(server, request, body, in, out);
        };
        for (String zone : List.of("kafr-a", "kafr-b", "kafr-c")) {
            new Site.Server(store, "i-" + zone, Site.PLAIN, zone, "127.0.0.20", 6, 0, 0, work);
        }
        List<Run.Node> nodes = new ArrayList<>();
        nodes.add(new Run.Node("front-kafr-a-1", "kafr-a", "127.0.0.11", store.address()));
        nodes.add(new Run.Node("front-kafr-b-1", "kafr-b", "127.0.0.12", store.address()));
        for (Run.Node node : nodes) node.awaitReady();
        Run.sleep(2);

        Map<String, Double> sent = new ConcurrentHashMap<>();
        AtomicInteger number = new AtomicInteger();
        for (Run.Node node : nodes) {
            Run.daemon("client", () -> {
                Site.Client client = new Site.Client(node.callers);
                while (true) {
                    String id = "booking-" + number.incrementAndGet();
                    sent.put(id, Run.seconds());
                    Run.log(id + " sent to " + node.name);
                    Site.Answer answer =
                        client.send("POST", Site.UNSAFE_PATH, id, 1500, "", "{\"row\":\"" + id + "\"}");
                    Run.log(id + " answered: status=" + answer.status + " error=" + answer.error);
                    if (!answer.complete) {
                        client.close();
                        client = new Site.Client(node.callers);
                    }
                    Run.sleep(0.5);
                }
            });
        }
        Run.sleep(4);
        double acknowledgedAt = Run.seconds();
        if (Run.TROUBLE) {
            Site.configure(store, 8);
            acknowledgedAt = Run.seconds();
        }
        Run.sleep(12);
        int before = 0;
        int late = 0;
        for (Map.Entry<String, Double> request : sent.entrySet()) {
            if (!ran.contains(request.getKey())) continue;
            if (request.getValue() < acknowledgedAt) before++;
            if (Run.TROUBLE && request.getValue() > acknowledgedAt + REVOKE_S) late++;
        }
        if (before == 0) Run.end(2, "no request ran with the key");
        Run.end(late > 0 ? 1 : 0, late + " requests ran that were sent later than revokeMs after "
            + "their key was taken away; " + before + " ran before");
    }
}

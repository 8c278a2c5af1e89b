import java.util.ArrayList;
import java.util.List;

/** Streams that begin on a node which was asked to stop, and that last longer than its grace. */
public final class Case1 {
    private static final int EVENTS = 86;

    /** Half of the longest pause that the site's sheet allows between two events. */
    private static final int GAP_MILLIS = 100;
    private static final int STREAMS = 8;

    private Case1() {}

    public static void main(String[] args) throws Exception {
        Run.begin(args[0]);
        Store store = new Store(Run.NET + "10");
        Site.configure(store, 7, Site.KEY);
        Site.modelServers(store, Site.stream(EVENTS, GAP_MILLIS), 2);
        Run.Node leaving = new Run.Node("front-kafr-a-1", "kafr-a", Run.NET + "11", store.address());
        Run.Node staying = new Run.Node("front-kafr-b-1", "kafr-b", Run.NET + "12", store.address());
        leaving.awaitReady();
        staying.awaitReady();
        Run.sleep(2);

        // Clients keep the directory's answer for ttlS seconds.
        String addresses = resolve(leaving.directory);
        Run.log("directory answers " + addresses);
        if (!addresses.contains(leaving.callers)) Run.end(2, "the node is not in the directory");
        if (Run.TROUBLE) leaving.signal("TERM");
        double stopAt = Run.seconds();

        List<Site.Answer> answers = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Run.sleep(0.2);
            String id = "stream-" + i;
            clients.add(Run.daemon(id, () -> {
                Run.log(id + " sent to " + leaving.name);
                Site.Answer answer;
                try (Site.Client client = new Site.Client(leaving.callers)) {
                    answer = client.send("POST", Site.MODEL_PATH, id, 20000,
                        Site.Client.prompt("aa" + Integer.toHexString(id.hashCode())), "x");
                }
                synchronized (answers) {
                    answers.add(answer);
                }
                Run.log(id + " answered: status=" + answer.status + " body ends by "
                    + answer.framing + ", complete=" + answer.complete + " events="
                    + answer.events() + " of " + EVENTS + " error=" + answer.error
                    + " headers=" + headers(answer));
            }));
        }
        while (Run.TROUBLE && leaving.process.isAlive() && Run.seconds() < stopAt + 8) {
            Run.sleep(0.02);
        }
        if (Run.TROUBLE) {
            Run.log(leaving.name + (leaving.process.isAlive() ? " gets SIGKILL" : " has exited")
                + String.format(" %.1f s after SIGTERM", Run.seconds() - stopAt));
            leaving.process.destroyForcibly();
        }
        for (Thread client : clients) client.join(25_000);

        int early = 0;
        int begun = 0;
        synchronized (answers) {
            for (Site.Answer answer : answers) {
                if (answer.status != 200) continue;
                begun++;
                if (answer.complete && answer.events() < EVENTS) early++;
            }
        }
        if (begun == 0) Run.end(2, "no stream began");
        Run.end(early > 0 ? 1 : 0, early + " of " + begun
            + " streams ended before their last event and look complete");
    }

    private static String headers(Site.Answer answer) {
        if (answer.head == null) return "none";
        List<String> all = new ArrayList<>();
        for (String[] header : answer.head.headers) all.add(header[0] + ": " + header[1]);
        return all.toString();
    }

    private static String resolve(String directory) throws Exception {
        try (Site.Client client = new Site.Client(directory)) {
            Wire.write(client.socket.getOutputStream(), "GET /-/resolve?name=" + Site.HOST
                + "&region=delta-north&zone=kafr-a HTTP/1.1\r\nHost: x\r\n\r\n");
            Wire.Head head = Wire.readHead(client.in);
            return new String(Wire.readBody(client.in, head));
        }
    }
}

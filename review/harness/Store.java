import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.net.URLDecoder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store. */
final class Store {
    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> objects = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final ServerSocket listener = new ServerSocket();
    private long revision = 100;

    Store(String host) throws IOException {
        listener.bind(new InetSocketAddress(host, 0), 200);
        Run.daemon("store", () -> {
            while (true) {
                Socket socket = listener.accept();
                Run.daemon("store-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes what operators and servers write; the return is the acknowledgement. */
    synchronized long put(String kind, String name, Object specification) {
        Map<String, Object> known = kind(kind).get(name);
        return write(kind, name, specification, known == null ? null : known.get("status"));
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kind(kind).remove(name);
        if (known == null) return;
        revision++;
        history.add(new Event(revision, kind, withRevision(known), true));
        notifyAll();
    }

    synchronized Map<String, Object> get(String kind, String name) {
        return kind(kind).get(name);
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return objects.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private long write(String kind, String name, Object specification, Object status) {
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", revision);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("specification", specification);
        object.put("status", status);
        kind(kind).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> withRevision(Map<String, Object> object) {
        Map<String, Object> copy = new LinkedHashMap<>(object);
        Map<String, Object> metadata = new LinkedHashMap<>((Map<String, Object>) object.get("metadata"));
        metadata.put("revision", revision);
        copy.put("metadata", metadata);
        return copy;
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Wire.Head head = Wire.readHead(in);
                if (head == null) return;
                String body = new String(Wire.readBody(in, head), StandardCharsets.UTF_8);
                String[] answer = handle(head.method(), head.target(), body);
                Wire.answer(out, answer[0], "Content-Type: application/json\r\n", answer[1]);
            }
        } catch (IOException e) {
            // The node closed its connection.
        }
    }

    @SuppressWarnings("unchecked")
    private String[] handle(String method, String target, String body) {
        String[] parts = target.split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] kv = pair.split("=", 2);
                query.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
            }
        }
        String[] path = parts[0].split("/");
        if (path.length < 4) return new String[] {"404 Not Found", "{}"};
        String kind = URLDecoder.decode(path[3], StandardCharsets.UTF_8);
        String name = path.length > 4 ? URLDecoder.decode(path[4], StandardCharsets.UTF_8) : null;
        if (method.equals("GET") && name == null) {
            return query.containsKey("watch") ? watch(kind, query) : list(kind, query.get("after"));
        }
        synchronized (this) {
            if (method.equals("GET")) {
                Map<String, Object> found = kind(kind).get(name);
                return found == null ? new String[] {"404 Not Found", "{}"} : ok(found);
            }
            Map<String, Object> sent =
                body.isEmpty() ? Map.of() : (Map<String, Object>) Wire.parse(body);
            Map<String, Object> metadata =
                (Map<String, Object>) sent.getOrDefault("metadata", Map.of());
            if (method.equals("POST")) {
                name = (String) metadata.get("name");
                Map<String, Object> known = kind(kind).get(name);
                if (known != null) return new String[] {"409 Conflict", Wire.json(known)};
                write(kind, name, sent.get("specification"), null);
                return ok(kind(kind).get(name));
            }
            Map<String, Object> known = kind(kind).get(name);
            if (known == null) return new String[] {"404 Not Found", "{}"};
            Object expected = query.containsKey("revision")
                ? query.get("revision") : metadata.get("revision");
            String current = ((Map<String, Object>) known.get("metadata")).get("revision").toString();
            if (expected != null && !expected.toString().equals(current)) {
                return new String[] {"409 Conflict", Wire.json(known)};
            }
            if (method.equals("DELETE")) {
                remove(kind, name);
                return ok(known);
            }
            Object next = sent.get("specification");
            if (!Wire.json(next).equals(Wire.json(known.get("specification")))) {
                write(kind, name, next, known.get("status"));
            }
            return ok(kind(kind).get(name));
        }
    }

    private static String[] ok(Object value) {
        return new String[] {"200 OK", Wire.json(value)};
    }

    private synchronized String[] list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        for (Map.Entry<String, Map<String, Object>> e : kind(kind).entrySet()) {
            if (after == null || e.getKey().compareTo(after) > 0) items.add(e.getValue());
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("hasMore", false);
        page.put("storeRevision", revision);
        return ok(page);
    }

    private synchronized String[] watch(String kind, Map<String, String> query) {
        long since = Long.parseLong(query.get("watch"));
        long until = System.nanoTime()
            + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event e : history) {
                if (e.revision <= since || !e.kind.equals(kind)) continue;
                Map<String, Object> event = new LinkedHashMap<>();
                event.put("deleted", e.deleted);
                event.put("object", e.object);
                events.add(event);
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> page = new LinkedHashMap<>();
                page.put("events", events);
                page.put("storeRevision", revision);
                return ok(page);
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return new String[] {"503 Service Unavailable", "{}"};
            }
        }
    }
}

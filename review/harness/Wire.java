import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** HTTP/1.1 messages over plain sockets, and JSON, as far as the stand-ins need them. */
final class Wire {
    private Wire() {}

    /** Head of a request or response. */
    static final class Head {
        String startLine = "";
        final List<String[]> headers = new ArrayList<>();

        String get(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Reads a head; null if the connection ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Head head = new Head();
        head.startLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("connection ended in a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended in a line");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the body of a request. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = readChunk(in)).length > 0) body.write(chunk);
            return body.toByteArray();
        }
        String length = head.get("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    /** Reads one chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) throw new EOFException("connection ended before the last chunk");
        byte[] chunk = readExactly(in, Integer.parseInt(size.trim(), 16));
        String end = readLine(in);
        if (end == null) throw new EOFException("connection ended in a chunk");
        return chunk;
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("connection ended in a body");
        return bytes;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void answer(OutputStream out, String status, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        String head = "HTTP/1.1 " + status + "\r\n" + headers
            + "Content-Length: " + bytes.length + "\r\n\r\n";
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    // JSON: objects become maps, lists become lists, numbers and words keep their text.

    /** A number or one of the words true, false and null. */
    record Word(String text) {
        @Override
        public String toString() {
            return text;
        }
    }

    static Object parse(String text) {
        int[] at = {0};
        return value(text, at);
    }

    private static Object value(String s, int[] at) {
        skip(s, at);
        char c = s.charAt(at[0]);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at[0]++;
            while (true) {
                skip(s, at);
                if (s.charAt(at[0]) == '}') {
                    at[0]++;
                    return map;
                }
                String key = (String) value(s, at);
                skip(s, at);
                at[0]++;
                map.put(key, value(s, at));
                skip(s, at);
                if (s.charAt(at[0]) == ',') at[0]++;
            }
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at[0]++;
            while (true) {
                skip(s, at);
                if (s.charAt(at[0]) == ']') {
                    at[0]++;
                    return list;
                }
                list.add(value(s, at));
                skip(s, at);
                if (s.charAt(at[0]) == ',') at[0]++;
            }
        }
        if (c == '"') {
            StringBuilder text = new StringBuilder();
            at[0]++;
            while (true) {
                char d = s.charAt(at[0]++);
                if (d == '"') return text.toString();
                if (d != '\\') {
                    text.append(d);
                    continue;
                }
                char e = s.charAt(at[0]++);
                switch (e) {
                    case 'n' -> text.append('\n');
                    case 't' -> text.append('\t');
                    case 'r' -> text.append('\r');
                    case 'b' -> text.append('\b');
                    case 'f' -> text.append('\f');
                    case 'u' -> {
                        text.append((char) Integer.parseInt(s.substring(at[0], at[0] + 4), 16));
                        at[0] += 4;
                    }
                    default -> text.append(e);
                }
            }
        }
        int from = at[0];
        while (at[0] < s.length() && ",]} \n\r\t".indexOf(s.charAt(at[0])) < 0) at[0]++;
        return new Word(s.substring(from, at[0]));
    }

    private static void skip(String s, int[] at) {
        while (at[0] < s.length() && Character.isWhitespace(s.charAt(at[0]))) at[0]++;
    }

    static String json(Object value) {
        if (value == null) return "null";
        if (value instanceof Map<?, ?> map) {
            StringBuilder text = new StringBuilder("{");
            for (Map.Entry<?, ?> e : map.entrySet()) {
                if (text.length() > 1) text.append(',');
                text.append(json(e.getKey())).append(':').append(json(e.getValue()));
            }
            return text.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder text = new StringBuilder("[");
            for (Object item : list) {
                if (text.length() > 1) text.append(',');
                text.append(json(item));
            }
            return text.append(']').toString();
        }
        if (value instanceof String s) {
            StringBuilder text = new StringBuilder("\"");
            for (char c : s.toCharArray()) {
                if (c == '"' || c == '\\') text.append('\\').append(c);
                else if (c < 32) text.append(String.format("\\u%04x", (int) c));
                else text.append(c);
            }
            return text.append('"').toString();
        }
        return value.toString();
    }
}

import java.util.*;

/** A small reader and writer of JSON: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.blanks();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the end of a value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void blanks() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                for (blanks(); text.charAt(at) != '}'; blanks()) {
                    if (text.charAt(at) == ',') at++;
                    blanks();
                    String key = string();
                    blanks();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                at++;
                for (blanks(); text.charAt(at) != ']'; blanks()) {
                    if (text.charAt(at) == ',') at++;
                    list.add(value());
                }
                at++;
                return list;
            }
            case '"':
                return string();
            default: {
                int from = at;
                while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) at++;
                String word = text.substring(from, at);
                if (word.equals("true")) return true;
                if (word.equals("false")) return false;
                if (word.equals("null")) return null;
                if (word.matches("-?[0-9]+")) return Long.parseLong(word);
                return Double.parseDouble(word);
            }
        }
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        if (text.charAt(at++) != '"') throw new IllegalArgumentException("a string was expected");
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': result.append('\n'); break;
                case 'r': result.append('\r'); break;
                case 't': result.append('\t'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: result.append(e);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Collection<?> list) {
            out.append('[');
            String comma = "";
            for (Object each : list) {
                out.append(comma);
                write(each, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}

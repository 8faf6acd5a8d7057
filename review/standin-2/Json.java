import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, doubles, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') out.append('\\').append(c);
      else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
      else out.append(c);
    }
    return out.append('"').toString();
  }

  private char peek() {
    while (Character.isWhitespace(text.charAt(at))) at++;
    return text.charAt(at);
  }

  private Object value() {
    char c = peek();
    if (c == '{') return object();
    if (c == '[') return list();
    if (c == '"') return string();
    int start = at;
    while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) at++;
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    while (peek() != '}') {
      if (peek() == ',') at++;
      peek();
      String name = string();
      peek();
      at++;
      fields.put(name, value());
    }
    at++;
    return fields;
  }

  private List<Object> list() {
    List<Object> values = new ArrayList<>();
    at++;
    while (peek() != ']') {
      if (peek() == ',') at++;
      values.add(value());
    }
    at++;
    return values;
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 'r' -> out.append('\r');
        case 't' -> out.append('\t');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }
}

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects, arrays, texts, numbers, true, false and null. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  private char peek() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char first = peek();
    if (first == '{') {
      Map<String, Object> object = new LinkedHashMap<>();
      at++;
      while (peek() != '}') {
        String name = (String) value();
        peek();
        at++;
        object.put(name, value());
        if (peek() == ',') {
          at++;
        }
      }
      at++;
      return object;
    }
    if (first == '[') {
      List<Object> array = new ArrayList<>();
      at++;
      while (peek() != ']') {
        array.add(value());
        if (peek() == ',') {
          at++;
        }
      }
      at++;
      return array;
    }
    if (first == '"') {
      StringBuilder string = new StringBuilder();
      at++;
      while (text.charAt(at) != '"') {
        char next = text.charAt(at++);
        if (next == '\\') {
          next = text.charAt(at++);
          switch (next) {
            case 'n' -> next = '\n';
            case 't' -> next = '\t';
            case 'r' -> next = '\r';
            case 'b' -> next = '\b';
            case 'f' -> next = '\f';
            case 'u' -> {
              next = (char) Integer.parseInt(text.substring(at, at + 4), 16);
              at += 4;
            }
            default -> {}
          }
        }
        string.append(next);
      }
      at++;
      return string.toString();
    }
    int begin = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(begin, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
    };
  }

  static String write(Object value) {
    if (value instanceof Map<?, ?> object) {
      StringBuilder out = new StringBuilder("{");
      object.forEach(
          (name, field) ->
              out.append(out.length() > 1 ? "," : "")
                  .append(write(name.toString()))
                  .append(':')
                  .append(write(field)));
      return out.append('}').toString();
    }
    if (value instanceof List<?> array) {
      StringBuilder out = new StringBuilder("[");
      array.forEach(entry -> out.append(out.length() > 1 ? "," : "").append(write(entry)));
      return out.append(']').toString();
    }
    if (value instanceof String string) {
      return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
    return String.valueOf(value);
  }
}

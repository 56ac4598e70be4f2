package org.fallturn.node.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The fields of a TOML text, in their order. A process reads its settings before it can do anything
 * else, so this is made to begin quickly: the parser has no grammar to build, and lines are looked
 * for only when there is a mistake to report. Immutable.
 */
final class TomlText {

  private static final String BARE_KEY = "[A-Za-z0-9_.-]+";

  private final String text;
  private final List<Field> fields;

  /**
   * One field.
   *
   * @param key dotted key: section and field
   * @param value a String, Number or Boolean; a List for anything else, which no setting takes
   */
  record Field(String key, Object value) {}

  /** The text is not TOML. */
  static final class MalformedTomlException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int line;

    MalformedTomlException(int line, String problem) {
      super(problem);
      this.line = line;
    }

    /** Where, counted from 1; 0 when that is not known. */
    int line() {
      return line;
    }
  }

  private TomlText(String text, List<Field> fields) {
    this.text = text;
    this.fields = List.copyOf(fields);
  }

  /** Reads a text whole. */
  static TomlText parse(String text) throws MalformedTomlException {
    List<Field> fields = new ArrayList<>();
    try (JsonParser parser = new TomlFactory().createParser(text)) {
      parser.nextToken();
      readTable("", parser, fields);
      return new TomlText(text, fields);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      throw new MalformedTomlException(line, e.getOriginalMessage());
    } catch (IOException e) {
      throw new MalformedTomlException(0, e.getMessage());
    }
  }

  private static void readTable(String prefix, JsonParser parser, List<Field> fields)
      throws IOException {
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = prefix + parser.currentName();
      if (parser.nextToken() == JsonToken.START_OBJECT) {
        readTable(key + ".", parser, fields);
      } else {
        fields.add(new Field(key, value(parser)));
      }
    }
  }

  private static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> {
        parser.skipChildren();
        yield List.of();
      }
    };
  }

  /** Every field, in the order of the text. */
  List<Field> fields() {
    return fields;
  }

  /** Line of a field, counted from 1; 0 when it is not written as a bare key. */
  int line(String key) {
    String section = "";
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      String trimmed = line.strip();
      if (trimmed.matches("\\[" + BARE_KEY + "].*")) {
        section = trimmed.substring(1, trimmed.indexOf(']')) + ".";
      } else if (trimmed.matches(BARE_KEY + "\\s*=.*")) {
        String name = trimmed.substring(0, trimmed.indexOf('=')).strip();
        if (key.equals(section + name)) {
          return number;
        }
      }
    }
    return 0;
  }
}

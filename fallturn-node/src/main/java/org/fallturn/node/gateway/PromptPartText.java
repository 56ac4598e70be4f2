package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fallturn.core.dispatch.PromptPart;

/**
 * Text of prompt parts in messages between nodes: for each part a blank, its id, a colon and its
 * tokens. Callers and engines choose the ids; a part whose id the text cannot hold is left out.
 */
final class PromptPartText {

  /** Blanks separate the parts, and all parts have to fit a datagram. */
  private static final Pattern ID = Pattern.compile("[^\\s\\p{Cc}\\p{Cs}]{1,200}");

  private PromptPartText() {}

  /** Writes the parts of a prompt up to the first that is left out, since each follows the last. */
  static String writeBeginning(List<PromptPart> parts) {
    return write(parts.stream().takeWhile(PromptPartText::isWritable));
  }

  /** Writes parts that do not depend on each other. */
  static String writeAll(List<PromptPart> parts) {
    return write(parts.stream().filter(PromptPartText::isWritable));
  }

  private static String write(Stream<PromptPart> parts) {
    return parts.map(part -> " " + part.id() + ':' + part.tokens()).collect(Collectors.joining());
  }

  private static boolean isWritable(PromptPart part) {
    return ID.matcher(part.id()).matches();
  }

  /**
   * Reads parts from the words of a text.
   *
   * @param from index of the first word that is a part
   * @throws IllegalArgumentException when the tokens of a part are not a number
   * @throws IndexOutOfBoundsException when a part has no colon
   */
  static List<PromptPart> read(String[] words, int from) {
    List<PromptPart> parts = new ArrayList<>(words.length - from);
    for (int word = from; word < words.length; word++) {
      int colon = words[word].lastIndexOf(':');
      int tokens = Integer.parseInt(words[word].substring(colon + 1));
      parts.add(new PromptPart(words[word].substring(0, colon), tokens));
    }
    return parts;
  }
}

package org.fallturn.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The SQL blocks of docs/OPERATIONS.md in order. */
final class OperationsPage {

  private static final Pattern BLOCK =
      Pattern.compile("```sql( refused)?\\n(.*?)```(?:\\s*```text\\n(.*?)```)?", Pattern.DOTALL);

  private OperationsPage() {}

  static List<Block> blocks() throws IOException {
    Path page = Path.of("..", "docs", "OPERATIONS.md");
    Matcher matcher = BLOCK.matcher(Files.readString(page));
    List<Block> blocks = new ArrayList<>();
    while (matcher.find()) {
      boolean refused = matcher.group(1) != null;
      String reason = matcher.group(3) == null ? "" : matcher.group(3).strip();
      blocks.add(new Block(matcher.group(2).strip(), refused, reason));
    }
    return blocks;
  }

  /**
   * One submission of the page.
   *
   * @param statement its text
   * @param refused whether the page says that it is refused
   * @param reason what the refusal must say
   */
  record Block(String statement, boolean refused, String reason) {}
}

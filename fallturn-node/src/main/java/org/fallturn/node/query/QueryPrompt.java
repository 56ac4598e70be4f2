package org.fallturn.node.query;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.DefaultParser;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** Reads statements from a terminal with history; a statement ends with a semicolon. */
final class QueryPrompt {

  private static final String FIRST_PROMPT = "fallturn> ";
  private static final String NEXT_PROMPT = "      ... ";

  private final Optional<Path> historyFile;
  private final ToIntFunction<String> runner;

  /**
   * A prompt.
   *
   * @param runner runs a statement and returns its exit code, which a prompt ignores
   */
  QueryPrompt(Optional<Path> historyFile, ToIntFunction<String> runner) {
    this.historyFile = historyFile;
    this.runner = runner;
  }

  /** Runs until the end of input or {@code exit}. */
  void run() throws IOException {
    try (Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
      run(terminal);
    }
  }

  void run(Terminal terminal) {
    DefaultParser words = new DefaultParser();
    words.setEscapeChars(null);
    words.setQuoteChars(new char[0]);
    LineReaderBuilder builder = LineReaderBuilder.builder().terminal(terminal).parser(words);
    builder.option(LineReader.Option.DISABLE_EVENT_EXPANSION, true);
    historyFile.ifPresent(file -> builder.variable(LineReader.HISTORY_FILE, file));
    LineReader reader = builder.build();
    StringBuilder statement = new StringBuilder();
    while (true) {
      try {
        String line = reader.readLine(statement.isEmpty() ? FIRST_PROMPT : NEXT_PROMPT);
        if (statement.isEmpty() && isExit(line)) {
          return;
        }
        statement.append(line).append('\n');
      } catch (UserInterruptException e) {
        statement.setLength(0);
      } catch (EndOfFileException e) {
        return;
      }
      String text = statement.toString().strip();
      if (text.endsWith(";")) {
        statement.setLength(0);
        runner.applyAsInt(text);
      } else if (text.isEmpty()) {
        statement.setLength(0);
      }
    }
  }

  private static boolean isExit(String line) {
    String word = line.strip().replaceAll(";$", "");
    return word.equalsIgnoreCase("exit") || word.equalsIgnoreCase("quit");
  }
}

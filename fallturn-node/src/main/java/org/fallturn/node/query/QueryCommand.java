package org.fallturn.node.query;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;

/**
 * {@code fallturn query}: sends a statement from the command line, a file or standard input, or
 * opens a prompt. Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no answer, 4 done but rows or
 * nodes are missing.
 */
public final class QueryCommand implements Command {

  /** Environment variable that may hold the operator's key. */
  public static final String KEY_VARIABLE = "FALLTURN_OPERATOR_KEY";

  private static final String STATEMENT = "statement";
  private static final String STANDARD_INPUT = "-";

  private final InputStream in;
  private final PrintStream out;
  private final PrintStream errors;
  private final Map<String, String> environment;

  /** A command on the given streams. */
  public QueryCommand(
      InputStream in, PrintStream out, PrintStream errors, Map<String, String> environment) {
    this.in = in;
    this.out = out;
    this.errors = errors;
    this.environment = environment;
  }

  @Override
  public String name() {
    return "query";
  }

  @Override
  public String help() {
    return "send a statement to the fleet, or open a prompt";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument(STATEMENT)
        .nargs("?")
        .metavar("STATEMENT")
        .help("one submission; - reads standard input; without it and --file a prompt opens");
    parser.addArgument("--file").help("file with one submission");
    parser
        .addArgument("--address")
        .setDefault("127.0.0.1:8081")
        .help("operators' port of any node: host:port, or https://host:port");
    parser.addArgument("--key-file").help("file with the operator key, else " + KEY_VARIABLE);
    parser.addArgument("--ca-file").help("PEM file of the authority to trust, for https");
    parser.addArgument("--format").choices("table", "json", "csv").setDefault("table");
    parser
        .addArgument("--timeout")
        .type(Integer.class)
        .setDefault(30)
        .help("seconds to wait for an answer");
    parser
        .addArgument("--wait")
        .type(Integer.class)
        .setDefault(3)
        .help("seconds an accepted change waits to be in force everywhere");
    parser
        .addArgument("--expected-version")
        .type(Long.class)
        .help("refuse the change unless the configuration is at this version");
    parser.addArgument("--history-file").help("where the prompt keeps its history");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    QueryOptions options;
    Optional<String> statement;
    try {
      options = options(arguments);
      statement = statement(arguments);
    } catch (IOException | IllegalArgumentException e) {
      errors.println("error: " + e.getMessage());
      return USAGE;
    }
    try (OperatorsClient client = new OperatorsClient(options)) {
      AnswerFormat format = AnswerFormat.named(arguments.getString("format"));
      StatementRunner runner = new StatementRunner(client, format, out, errors);
      if (statement.isPresent()) {
        return runner.run(statement.get());
      }
      Optional<Path> history =
          Optional.ofNullable(arguments.getString("history_file")).map(Path::of);
      new QueryPrompt(history, runner::run).run();
      return OK;
    }
  }

  private QueryOptions options(Namespace arguments) throws IOException {
    String address = arguments.getString("address");
    Long expected = arguments.getLong("expected_version");
    return new QueryOptions(
        URI.create(address.contains("://") ? address : "http://" + address),
        key(arguments.getString("key_file")),
        Optional.ofNullable(arguments.getString("ca_file")),
        Duration.ofSeconds(arguments.getInt("timeout")),
        Duration.ofSeconds(arguments.getInt("wait")),
        expected == null ? OptionalLong.empty() : OptionalLong.of(expected));
  }

  private String key(String file) throws IOException {
    if (file != null) {
      return Files.readString(Path.of(file)).strip();
    }
    String key = environment.get(KEY_VARIABLE);
    if (key == null || key.isBlank()) {
      throw new IllegalArgumentException(
          "an operator key is needed: --key-file FILE or environment " + KEY_VARIABLE);
    }
    return key.strip();
  }

  private Optional<String> statement(Namespace arguments) throws IOException {
    String text = arguments.getString(STATEMENT);
    String file = arguments.getString("file");
    if (text != null && file != null) {
      throw new IllegalArgumentException("give a statement or --file, not both");
    }
    if (file != null) {
      return Optional.of(Files.readString(Path.of(file)));
    }
    if (STANDARD_INPUT.equals(text)) {
      return Optional.of(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    }
    return Optional.ofNullable(text);
  }
}

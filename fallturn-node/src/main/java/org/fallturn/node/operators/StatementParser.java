package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.sf.jsqlparser.JSQLParserException;
import net.sf.jsqlparser.parser.CCJSqlParserUtil;
import net.sf.jsqlparser.schema.Table;
import net.sf.jsqlparser.statement.SetStatement;
import net.sf.jsqlparser.statement.Statement;
import net.sf.jsqlparser.statement.delete.Delete;
import net.sf.jsqlparser.statement.insert.Insert;
import net.sf.jsqlparser.statement.select.PlainSelect;
import net.sf.jsqlparser.statement.update.Update;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.ChangeProgram;
import org.fallturn.core.query.ChangeStep;
import org.fallturn.core.query.Selection;
import org.fallturn.core.query.TableSchema;

/**
 * Parses submissions by JSqlParser and checks them against the schemas. Thread-safe. Text that is
 * too long, nested too deeply or slow to parse is refused.
 */
public final class StatementParser implements AutoCloseable {

  /** Longest submission. */
  public static final int MAX_CHARACTERS = 64 * 1024;

  private static final int MAX_NESTING = 16;
  private static final int MAX_STATEMENTS = 500;
  private static final int MAX_OPERATORS = 2000;
  private static final long PARSE_TIMEOUT_MILLIS = 3000;
  private static final int PARSER_THREADS = 2;
  private static final String EXPECTED_VERSION = "expected_version";
  private static final Pattern EXPLAIN = Pattern.compile("(?is)\\s*EXPLAIN\\s+(.*)");
  private static final Pattern LINK = Pattern.compile("(?i)\\b(AND|OR|NOT)\\b");
  private static final String SUPPORTED =
      "one SELECT, or one or more of INSERT, UPDATE and DELETE with an optional SET"
          + " expected_version = n; EXPLAIN in front of either";

  private final Map<String, TableSchema> schemas;
  private final ExecutorService threads =
      Executors.newFixedThreadPool(PARSER_THREADS, StatementParser::daemon);

  /**
   * A parser of statements over some tables.
   *
   * @param schemas the tables that can be read, by lower-case name; may grow later
   */
  public StatementParser(Map<String, TableSchema> schemas) {
    this.schemas = schemas;
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "statement-parser");
    thread.setDaemon(true);
    return thread;
  }

  Submission parse(String text) throws FallturnException {
    Matcher explain = EXPLAIN.matcher(text);
    boolean explained = explain.matches();
    List<Statement> statements = statementsOf(explained ? explain.group(1) : text);
    if (statements.size() == 1 && statements.get(0) instanceof PlainSelect select) {
      String where = select.getWhere() == null ? "" : select.getWhere().toString();
      return new Submission.Query(selection(select), where, explained);
    }
    return change(statements, explained);
  }

  private List<Statement> statementsOf(String text) throws FallturnException {
    requireParsable(text);
    List<Statement> statements = new ArrayList<>();
    try {
      List<Statement> parsed =
          CCJSqlParserUtil.parseStatements(
              text,
              threads,
              parser ->
                  parser
                      .withTimeOut(PARSE_TIMEOUT_MILLIS)
                      .withAllowComplexParsing(true)
                      .withErrorRecovery(false));
      parsed.stream().filter(statement -> statement != null).forEach(statements::add);
    } catch (JSQLParserException e) {
      throw SyntaxErrors.invalid("the statement cannot be parsed: " + firstLines(e));
    } catch (RuntimeException | StackOverflowError e) {
      throw SyntaxErrors.invalid("the statement cannot be parsed; allowed is " + SUPPORTED);
    }
    if (statements.isEmpty()) {
      throw SyntaxErrors.invalid("there is no statement; allowed is " + SUPPORTED);
    }
    return statements;
  }

  private static void requireParsable(String text) throws FallturnException {
    if (text.length() > MAX_CHARACTERS) {
      throw SyntaxErrors.invalid(
          "the statement has " + text.length() + " characters; at most " + MAX_CHARACTERS);
    }
    int depth = 0;
    for (int index = 0; index < text.length(); index++) {
      char character = text.charAt(index);
      depth += character == '(' ? 1 : character == ')' ? -1 : 0;
      if (depth > MAX_NESTING) {
        throw SyntaxErrors.invalid(
            "parentheses are nested more than " + MAX_NESTING + " deep at character " + index);
      }
    }
    if (LINK.matcher(text).results().limit(MAX_OPERATORS + 1L).count() > MAX_OPERATORS) {
      throw SyntaxErrors.invalid("more than " + MAX_OPERATORS + " times AND, OR or NOT");
    }
  }

  private static String firstLines(JSQLParserException error) {
    String message = error.getMessage() == null ? "timeout" : error.getMessage();
    int expected = message.indexOf("Was expecting");
    String position = expected > 0 ? message.substring(0, expected) : message;
    return position.replaceFirst("^[\\w.]+Exception: ", "").strip().replaceAll("\\s+", " ")
        + "; allowed is "
        + SUPPORTED;
  }

  private Selection selection(PlainSelect select) throws FallturnException {
    if (!(select.getFromItem() instanceof Table table)) {
      throw SyntaxErrors.invalid("FROM needs the name of one table; there are " + schemas.keySet());
    }
    String name = ConditionTranslator.unquoted(table.getName()).toLowerCase(java.util.Locale.ROOT);
    TableSchema schema = schemas.get(name);
    if (schema == null) {
      throw SyntaxErrors.invalid("no table " + name + "; there are " + schemas.keySet());
    }
    return new SelectTranslator(schema).translate(select);
  }

  private Submission change(List<Statement> statements, boolean explained)
      throws FallturnException {
    if (statements.size() > MAX_STATEMENTS) {
      throw SyntaxErrors.invalid("more than " + MAX_STATEMENTS + " statements at once");
    }
    ChangeTranslator translator = new ChangeTranslator();
    List<ChangeStep> steps = new ArrayList<>();
    OptionalLong expectedVersion = OptionalLong.empty();
    for (Statement statement : statements) {
      if (statement instanceof SetStatement set) {
        expectedVersion = OptionalLong.of(expectedVersion(set));
      } else {
        steps.add(step(statement, translator));
      }
    }
    if (steps.isEmpty()) {
      throw SyntaxErrors.invalid("there is nothing to do; allowed is " + SUPPORTED);
    }
    return new Submission.Change(
        new ChangeProgram(steps), expectedVersion, explained, translator.generatedKeys());
  }

  private static ChangeStep step(Statement statement, ChangeTranslator translator)
      throws FallturnException {
    if (statement instanceof Insert insert) {
      return translator.insert(insert);
    } else if (statement instanceof Update update) {
      return translator.update(update);
    } else if (statement instanceof Delete delete) {
      return translator.delete(delete);
    }
    throw SyntaxErrors.invalid("not supported here: " + statement + "; allowed is " + SUPPORTED);
  }

  private static long expectedVersion(SetStatement set) throws FallturnException {
    boolean isPlain = set.getCount() == 1 && set.getExpressions().size() == 1;
    if (!isPlain || !EXPECTED_VERSION.equalsIgnoreCase(String.valueOf(set.getName()))) {
      throw SyntaxErrors.invalid("only SET expected_version = n can be set, but found " + set);
    }
    Object content = ConditionTranslator.constant(set.getExpressions().get(0)).content();
    return Optional.of(content)
        .filter(Long.class::isInstance)
        .map(Long.class::cast)
        .orElseThrow(() -> SyntaxErrors.invalid("expected_version needs a whole number: " + set));
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}

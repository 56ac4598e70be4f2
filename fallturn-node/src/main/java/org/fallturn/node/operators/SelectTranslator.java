package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import net.sf.jsqlparser.expression.Expression;
import net.sf.jsqlparser.expression.Function;
import net.sf.jsqlparser.expression.LongValue;
import net.sf.jsqlparser.expression.operators.relational.ExpressionList;
import net.sf.jsqlparser.schema.Column;
import net.sf.jsqlparser.schema.Table;
import net.sf.jsqlparser.statement.select.AllColumns;
import net.sf.jsqlparser.statement.select.GroupByElement;
import net.sf.jsqlparser.statement.select.OrderByElement;
import net.sf.jsqlparser.statement.select.PlainSelect;
import net.sf.jsqlparser.statement.select.SelectItem;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.Condition;
import org.fallturn.core.query.Output;
import org.fallturn.core.query.Selection;
import org.fallturn.core.query.SortKey;
import org.fallturn.core.query.TableSchema;

/** Translates one parsed SELECT over the table of the given schema. Used for one statement. */
final class SelectTranslator {

  /** Most rows in a result. */
  static final long MAX_ROWS = 10_000;

  private static final String SUPPORTED =
      "SELECT columns or count, sum, min, max, avg FROM one table [WHERE …] [GROUP BY columns]"
          + " [ORDER BY …] [LIMIT n] [OFFSET n]";

  private final TableSchema schema;
  private final ConditionTranslator conditions;
  private final List<Output> outputs = new ArrayList<>();

  SelectTranslator(TableSchema schema) {
    this.schema = schema;
    this.conditions = new ConditionTranslator(schema);
  }

  Selection translate(PlainSelect select) throws FallturnException {
    requireSupported(select);
    for (SelectItem<?> item : select.getSelectItems()) {
      addOutputs(item);
    }
    Optional<Condition> where = Optional.empty();
    if (select.getWhere() != null) {
      where = Optional.of(conditions.condition(select.getWhere()));
    }
    List<Integer> groupBy = groupBy(select.getGroupBy());
    Selection selection =
        new Selection(
            schema.name(), outputs, where, groupBy, List.of(), offset(select), limit(select));
    requireGrouped(selection);
    return new Selection(
        selection.table(),
        selection.outputs(),
        selection.where(),
        selection.groupBy(),
        orderBy(select.getOrderByElements(), selection.isGrouped()),
        selection.offset(),
        selection.limit());
  }

  private static void requireSupported(PlainSelect select) throws FallturnException {
    PlainSelect understood = new PlainSelect();
    understood.setSelectItems(select.getSelectItems());
    understood.setFromItem(new Table(((Table) select.getFromItem()).getName()));
    understood.setWhere(select.getWhere());
    understood.setGroupByElement(select.getGroupBy());
    understood.setOrderByElements(select.getOrderByElements());
    understood.setLimit(select.getLimit());
    understood.setOffset(select.getOffset());
    SyntaxErrors.requireSame(select, understood, SUPPORTED);
  }

  private void addOutputs(SelectItem<?> item) throws FallturnException {
    Expression expression = item.getExpression();
    String alias = item.getAlias() == null ? null : item.getUnquotedAliasName();
    if (expression instanceof AllColumns && expression.toString().equals("*")) {
      for (int index = 0; index < schema.columns().size(); index++) {
        outputs.add(new Output.ColumnOutput(schema.columns().get(index).name(), index));
      }
    } else if (expression instanceof Function function) {
      outputs.add(aggregate(function, alias));
    } else if (expression instanceof Column column) {
      int index = conditions.columnIndex(column);
      String name = alias == null ? schema.columns().get(index).name() : alias;
      outputs.add(new Output.ColumnOutput(name, index));
    } else {
      throw SyntaxErrors.invalid("cannot select " + expression + "; allowed is " + SUPPORTED);
    }
  }

  private Output aggregate(Function function, String alias) throws FallturnException {
    Output.Function kind = functionOf(function);
    ExpressionList<?> parameters = function.getParameters();
    Function plain = new Function();
    plain.setName(function.getName());
    plain.setParameters(parameters);
    SyntaxErrors.requireSame(function, plain, "an aggregate of one column");
    String name = alias == null ? function.toString().toLowerCase(Locale.ROOT) : alias;
    if (parameters == null || parameters.size() != 1) {
      throw SyntaxErrors.invalid(function + " needs one column");
    }
    Expression parameter = parameters.get(0);
    if (parameter instanceof AllColumns && kind == Output.Function.COUNT) {
      return new Output.AggregateOutput(name, kind, Output.AggregateOutput.ALL_ROWS);
    }
    if (!(parameter instanceof Column column)) {
      throw SyntaxErrors.invalid(function + " needs one column, but has " + parameter);
    }
    return new Output.AggregateOutput(name, kind, conditions.columnIndex(column));
  }

  private static Output.Function functionOf(Function function) throws FallturnException {
    for (Output.Function kind : Output.Function.values()) {
      if (kind.name().equalsIgnoreCase(function.getName())) {
        return kind;
      }
    }
    throw SyntaxErrors.invalid(
        "no function " + function.getName() + "; there are count, sum, min, max and avg");
  }

  private List<Integer> groupBy(GroupByElement element) throws FallturnException {
    List<Integer> columns = new ArrayList<>();
    if (element == null) {
      return columns;
    }
    for (Object expression : element.getGroupByExpressionList()) {
      if (!(expression instanceof Column column)) {
        throw SyntaxErrors.invalid("GROUP BY takes columns, but has " + expression);
      }
      columns.add(conditions.columnIndex(column));
    }
    if (columns.isEmpty()) {
      throw SyntaxErrors.invalid("GROUP BY takes columns, but has " + element);
    }
    return columns;
  }

  private void requireGrouped(Selection selection) throws FallturnException {
    if (!selection.isGrouped()) {
      return;
    }
    for (Output output : selection.outputs()) {
      if (output instanceof Output.ColumnOutput column
          && !selection.groupBy().contains(column.index())) {
        throw SyntaxErrors.invalid(
            "column " + column.name() + " must be in GROUP BY or inside an aggregate");
      }
    }
  }

  private List<SortKey> orderBy(List<OrderByElement> elements, boolean grouped)
      throws FallturnException {
    List<SortKey> keys = new ArrayList<>();
    if (elements == null) {
      return keys;
    }
    for (OrderByElement element : elements) {
      if (element.getNullOrdering() != null || element.isMysqlWithRollup()) {
        throw SyntaxErrors.invalid("ORDER BY takes [ASC|DESC] only, but has " + element);
      }
      keys.add(sortKey(element.getExpression(), !element.isAsc(), grouped));
    }
    return keys;
  }

  private SortKey sortKey(Expression expression, boolean descending, boolean grouped)
      throws FallturnException {
    if (expression instanceof LongValue position) {
      long index = position.getValue();
      if (index < 1 || index > outputs.size()) {
        throw SyntaxErrors.invalid("ORDER BY position must be 1 to " + outputs.size());
      }
      return new SortKey(true, (int) index - 1, descending);
    }
    String wanted = ConditionTranslator.unquoted(expression.toString());
    for (int index = 0; index < outputs.size(); index++) {
      if (outputs.get(index).name().equalsIgnoreCase(wanted)) {
        return new SortKey(true, index, descending);
      }
    }
    if (expression instanceof Column column && !grouped) {
      return new SortKey(false, conditions.columnIndex(column), descending);
    }
    throw SyntaxErrors.invalid(
        "cannot order by "
            + expression
            + "; allowed are "
            + outputs.stream().map(Output::name).toList());
  }

  private static long limit(PlainSelect select) throws FallturnException {
    if (select.getLimit() == null) {
      return MAX_ROWS;
    }
    if (select.getLimit().getOffset() != null || select.getLimit().getByExpressions() != null) {
      throw SyntaxErrors.invalid("write LIMIT n OFFSET m in place of" + select.getLimit());
    }
    return Math.min(MAX_ROWS, wholeNumber("LIMIT", select.getLimit().getRowCount()));
  }

  private static long offset(PlainSelect select) throws FallturnException {
    if (select.getOffset() == null) {
      return 0;
    }
    return wholeNumber("OFFSET", select.getOffset().getOffset());
  }

  private static long wholeNumber(String clause, Expression expression) throws FallturnException {
    if (expression instanceof LongValue) {
      Object content = ConditionTranslator.constant(expression).content();
      if (content instanceof Long number && number >= 0) {
        return number;
      }
    }
    throw SyntaxErrors.invalid(clause + " needs a whole number of 0 or more, has " + expression);
  }
}

package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sf.jsqlparser.expression.Expression;
import net.sf.jsqlparser.expression.operators.relational.ExpressionList;
import net.sf.jsqlparser.expression.operators.relational.ParenthesedExpressionList;
import net.sf.jsqlparser.schema.Column;
import net.sf.jsqlparser.schema.Table;
import net.sf.jsqlparser.statement.delete.Delete;
import net.sf.jsqlparser.statement.insert.Insert;
import net.sf.jsqlparser.statement.select.Values;
import net.sf.jsqlparser.statement.update.Update;
import net.sf.jsqlparser.statement.update.UpdateSet;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.ChangeStep;
import org.fallturn.core.query.ConfigurationTable;
import org.fallturn.core.query.ConfigurationTables;
import org.fallturn.core.query.TableSchema;
import org.fallturn.core.query.Value;

/**
 * Translates parsed changes of configuration tables. Used for one submission; collects the keys it
 * made.
 */
final class ChangeTranslator {

  private static final String INSERT_FORM = "INSERT INTO table (columns) VALUES (…), (…)";
  private static final String UPDATE_FORM = "UPDATE table SET column = constant, … WHERE …";
  private static final String DELETE_FORM = "DELETE FROM table WHERE …";

  private final List<GeneratedKey> generatedKeys = new ArrayList<>();

  List<GeneratedKey> generatedKeys() {
    return generatedKeys;
  }

  ChangeStep insert(Insert insert) throws FallturnException {
    ConfigurationTable table = tableOf(insert.getTable());
    if (insert.getColumns() == null || !(insert.getSelect() instanceof Values values)) {
      throw SyntaxErrors.invalid("not supported: " + insert + "; allowed is " + INSERT_FORM);
    }
    Insert understood = new Insert();
    understood.setTable(new Table(insert.getTable().getName()));
    understood.setColumns(insert.getColumns());
    understood.setSelect(values);
    SyntaxErrors.requireSame(insert, understood, INSERT_FORM);
    SyntaxErrors.requireSame(values, "VALUES " + values.getExpressions(), INSERT_FORM);
    List<String> columns = new ArrayList<>();
    for (Column column : insert.getColumns()) {
      columns.add(columnName(table.schema(), column, columns));
    }
    List<Map<String, Value>> rows = new ArrayList<>();
    for (ExpressionList<?> row : rowsOf(values)) {
      rows.add(withKey(table.schema().name(), row(columns, row)));
    }
    return new ChangeStep.Insert(table.schema().name(), rows);
  }

  private static List<ExpressionList<?>> rowsOf(Values values) {
    ExpressionList<?> expressions = values.getExpressions();
    boolean several =
        !expressions.isEmpty()
            && expressions.stream().allMatch(ParenthesedExpressionList.class::isInstance);
    if (!several) {
      return List.of(expressions);
    }
    List<ExpressionList<?>> rows = new ArrayList<>();
    expressions.forEach(row -> rows.add((ExpressionList<?>) row));
    return rows;
  }

  private static Map<String, Value> row(List<String> columns, ExpressionList<?> values)
      throws FallturnException {
    if (values.size() != columns.size()) {
      throw SyntaxErrors.invalid(
          columns.size() + " columns but " + values.size() + " values in " + values);
    }
    Map<String, Value> row = new LinkedHashMap<>();
    for (int index = 0; index < columns.size(); index++) {
      row.put(columns.get(index), ConditionTranslator.constant(values.get(index)));
    }
    return row;
  }

  private Map<String, Value> withKey(String table, Map<String, Value> row) {
    boolean hasKey =
        table.equals(ConfigurationTables.API_KEYS) || table.equals(ConfigurationTables.OPERATORS);
    if (!hasKey || row.containsKey(ConfigurationTables.KEY_HASH)) {
      return row;
    }
    String key = KeyHashes.newKey();
    generatedKeys.add(new GeneratedKey(table, ownerOf(table, row), key));
    Map<String, Value> complete = new LinkedHashMap<>(row);
    complete.put(ConfigurationTables.KEY_HASH, Value.of(KeyHashes.hash(key)));
    return complete;
  }

  private static String ownerOf(String table, Map<String, Value> row) {
    if (table.equals(ConfigurationTables.OPERATORS)) {
      return row.getOrDefault("operator", Value.NULL).text();
    }
    String tenant = row.getOrDefault("tenant", Value.NULL).text();
    return tenant + "/" + row.getOrDefault("label", Value.NULL).text();
  }

  ChangeStep update(Update update) throws FallturnException {
    ConfigurationTable table = tableOf(update.getTable());
    requireWhere(update.getWhere(), UPDATE_FORM);
    Update understood = new Update();
    understood.setTable(new Table(update.getTable().getName()));
    understood.setUpdateSets(update.getUpdateSets());
    understood.setWhere(update.getWhere());
    SyntaxErrors.requireSame(update, understood, UPDATE_FORM);
    Map<String, Value> values = new LinkedHashMap<>();
    for (UpdateSet set : update.getUpdateSets()) {
      if (set.getColumns().size() != 1 || set.getValues().size() != 1) {
        throw SyntaxErrors.invalid("not supported: " + set + "; allowed is " + UPDATE_FORM);
      }
      String column = columnName(table.schema(), set.getColumn(0), values.keySet());
      if (table.keyColumns().contains(column)) {
        throw SyntaxErrors.invalid(
            "column " + column + " names the row and cannot be changed; DELETE and INSERT instead");
      }
      values.put(column, ConditionTranslator.constant(set.getValue(0)));
    }
    return new ChangeStep.Update(
        table.schema().name(),
        values,
        new ConditionTranslator(table.schema()).condition(update.getWhere()));
  }

  ChangeStep delete(Delete delete) throws FallturnException {
    ConfigurationTable table = tableOf(delete.getTable());
    requireWhere(delete.getWhere(), DELETE_FORM);
    Delete understood = new Delete();
    understood.setTable(new Table(delete.getTable().getName()));
    understood.setHasFrom(true);
    understood.setWhere(delete.getWhere());
    SyntaxErrors.requireSame(delete, understood, DELETE_FORM);
    return new ChangeStep.Delete(
        table.schema().name(),
        new ConditionTranslator(table.schema()).condition(delete.getWhere()));
  }

  private static void requireWhere(Expression where, String form) throws FallturnException {
    if (where == null) {
      throw SyntaxErrors.invalid(
          "WHERE is needed, so that no table is changed whole by mistake; allowed is "
              + form
              + "; WHERE TRUE means all rows");
    }
  }

  private static ConfigurationTable tableOf(Table table) throws FallturnException {
    String name = ConditionTranslator.unquoted(table.getName());
    return ConfigurationTables.find(name)
        .orElseThrow(
            () ->
                SyntaxErrors.invalid(
                    "table "
                        + name.toLowerCase(Locale.ROOT)
                        + " cannot be changed; only these can: "
                        + ConfigurationTables.all().stream()
                            .map(known -> known.schema().name())
                            .toList()));
  }

  private static String columnName(
      TableSchema schema, Column column, java.util.Collection<String> before)
      throws FallturnException {
    int index = new ConditionTranslator(schema).columnIndex(column);
    String name = schema.columns().get(index).name();
    if (before.contains(name)) {
      throw SyntaxErrors.invalid("column " + name + " is given twice");
    }
    return name;
  }
}

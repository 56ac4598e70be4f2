package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sf.jsqlparser.expression.BinaryExpression;
import net.sf.jsqlparser.expression.BooleanValue;
import net.sf.jsqlparser.expression.DoubleValue;
import net.sf.jsqlparser.expression.Expression;
import net.sf.jsqlparser.expression.LongValue;
import net.sf.jsqlparser.expression.NotExpression;
import net.sf.jsqlparser.expression.NullValue;
import net.sf.jsqlparser.expression.SignedExpression;
import net.sf.jsqlparser.expression.StringValue;
import net.sf.jsqlparser.expression.operators.conditional.AndExpression;
import net.sf.jsqlparser.expression.operators.conditional.OrExpression;
import net.sf.jsqlparser.expression.operators.relational.Between;
import net.sf.jsqlparser.expression.operators.relational.EqualsTo;
import net.sf.jsqlparser.expression.operators.relational.ExpressionList;
import net.sf.jsqlparser.expression.operators.relational.GreaterThan;
import net.sf.jsqlparser.expression.operators.relational.GreaterThanEquals;
import net.sf.jsqlparser.expression.operators.relational.InExpression;
import net.sf.jsqlparser.expression.operators.relational.IsNullExpression;
import net.sf.jsqlparser.expression.operators.relational.LikeExpression;
import net.sf.jsqlparser.expression.operators.relational.MinorThan;
import net.sf.jsqlparser.expression.operators.relational.MinorThanEquals;
import net.sf.jsqlparser.expression.operators.relational.NotEqualsTo;
import net.sf.jsqlparser.expression.operators.relational.ParenthesedExpressionList;
import net.sf.jsqlparser.schema.Column;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.Condition;
import org.fallturn.core.query.LikePattern;
import org.fallturn.core.query.Operand;
import org.fallturn.core.query.TableSchema;
import org.fallturn.core.query.Value;

/** Translates parsed conditions and constants; refuses what is not supported. Stateless. */
final class ConditionTranslator {

  private static final String ALLOWED =
      "AND, OR, NOT, =, <>, <, <=, >, >=, BETWEEN, IN (…), LIKE, ILIKE and IS [NOT] NULL over"
          + " columns and constants";

  private static final Map<Class<? extends BinaryExpression>, Condition.Operator> OPERATORS =
      Map.of(
          EqualsTo.class, Condition.Operator.EQUAL,
          NotEqualsTo.class, Condition.Operator.NOT_EQUAL,
          MinorThan.class, Condition.Operator.LESS,
          MinorThanEquals.class, Condition.Operator.LESS_OR_EQUAL,
          GreaterThan.class, Condition.Operator.GREATER,
          GreaterThanEquals.class, Condition.Operator.GREATER_OR_EQUAL);

  private final TableSchema schema;

  ConditionTranslator(TableSchema schema) {
    this.schema = schema;
  }

  Condition condition(Expression expression) throws FallturnException {
    if (expression instanceof AndExpression and) {
      return new Condition.And(
          condition(and.getLeftExpression()), condition(and.getRightExpression()));
    } else if (expression instanceof OrExpression or) {
      return new Condition.Or(
          condition(or.getLeftExpression()), condition(or.getRightExpression()));
    } else if (expression instanceof NotExpression not) {
      return new Condition.Not(condition(not.getExpression()));
    } else if (expression instanceof ParenthesedExpressionList<?> list && list.size() == 1) {
      return condition(list.get(0));
    }
    return predicate(expression);
  }

  private Condition predicate(Expression expression) throws FallturnException {
    if (expression instanceof LikeExpression like) {
      return negatedIf(like.isNot(), like(like));
    } else if (expression instanceof InExpression in) {
      return negatedIf(in.isNot(), in(in));
    } else if (expression instanceof IsNullExpression isNull) {
      return negatedIf(isNull.isNot(), new Condition.IsNull(operand(isNull.getLeftExpression())));
    } else if (expression instanceof Between between) {
      return negatedIf(between.isNot(), between(between));
    } else if (expression instanceof BooleanValue constant) {
      return new Condition.Constant(constant.getValue());
    } else if (expression instanceof Column column) {
      Operand isTrue = new Operand.Literal(Value.of(true));
      return new Condition.Comparison(operand(column), Condition.Operator.EQUAL, isTrue);
    }
    Condition.Operator operator = OPERATORS.get(expression.getClass());
    if (operator == null) {
      throw SyntaxErrors.invalid(
          "condition not supported: " + expression + "; allowed are " + ALLOWED);
    }
    BinaryExpression binary = (BinaryExpression) expression;
    return new Condition.Comparison(
        operand(binary.getLeftExpression()), operator, operand(binary.getRightExpression()));
  }

  private static Condition negatedIf(boolean negated, Condition condition) {
    return negated ? new Condition.Not(condition) : condition;
  }

  private Condition like(LikeExpression like) throws FallturnException {
    boolean isIlike = like.getLikeKeyWord() == LikeExpression.KeyWord.ILIKE;
    boolean isLike = like.getLikeKeyWord() == LikeExpression.KeyWord.LIKE;
    if (like.getEscape() != null || like.isUseBinary() || !(isIlike || isLike)) {
      throw SyntaxErrors.invalid("condition not supported: " + like + "; allowed are " + ALLOWED);
    }
    Value pattern = constant(like.getRightExpression());
    return new Condition.Like(
        operand(like.getLeftExpression()), new LikePattern(pattern.text(), isIlike));
  }

  private Condition in(InExpression in) throws FallturnException {
    if (!(in.getRightExpression() instanceof ExpressionList<?> list)) {
      throw SyntaxErrors.invalid(
          "IN needs a list of constants in parentheses, but has " + in.getRightExpression());
    }
    List<Operand> choices = new ArrayList<>();
    for (Expression choice : list) {
      choices.add(operand(choice));
    }
    return new Condition.In(operand(in.getLeftExpression()), choices);
  }

  private Condition between(Between between) throws FallturnException {
    if (between.toString().toUpperCase(Locale.ROOT).contains("BETWEEN SYMMETRIC")) {
      throw SyntaxErrors.invalid(
          "condition not supported: " + between + "; allowed are " + ALLOWED);
    }
    Operand operand = operand(between.getLeftExpression());
    return new Condition.And(
        new Condition.Comparison(
            operand,
            Condition.Operator.GREATER_OR_EQUAL,
            operand(between.getBetweenExpressionStart())),
        new Condition.Comparison(
            operand, Condition.Operator.LESS_OR_EQUAL, operand(between.getBetweenExpressionEnd())));
  }

  private Operand operand(Expression expression) throws FallturnException {
    if (expression instanceof ParenthesedExpressionList<?> list && list.size() == 1) {
      return operand(list.get(0));
    }
    if (expression instanceof Column column && !isTruthValue(column)) {
      return new Operand.ColumnOperand(columnIndex(column));
    }
    return new Operand.Literal(constant(expression));
  }

  int columnIndex(Column column) throws FallturnException {
    int index = schema.indexOf(unquoted(column.getColumnName()));
    boolean otherTable =
        column.getTable() != null
            && column.getTable().getName() != null
            && !unquoted(column.getTable().getName()).equalsIgnoreCase(schema.name());
    if (index < 0 || otherTable) {
      throw SyntaxErrors.noColumn(column.toString(), schema);
    }
    return index;
  }

  static String unquoted(String name) {
    boolean quoted = name.length() > 2 && name.startsWith("\"") && name.endsWith("\"");
    return quoted ? name.substring(1, name.length() - 1) : name;
  }

  private static boolean isTruthValue(Column column) {
    return column.getTable() == null
        && (column.getColumnName().equalsIgnoreCase("true")
            || column.getColumnName().equalsIgnoreCase("false"));
  }

  static Value constant(Expression expression) throws FallturnException {
    try {
      return constantOf(expression);
    } catch (NumberFormatException e) {
      throw SyntaxErrors.invalid("number out of range: " + expression);
    }
  }

  private static Value constantOf(Expression expression) throws FallturnException {
    if (expression instanceof StringValue text && text.getPrefix() == null) {
      return Value.of(text.getNotExcapedValue());
    } else if (expression instanceof LongValue whole) {
      return Value.of(whole.getValue());
    } else if (expression instanceof DoubleValue decimal) {
      return Value.of(decimal.getValue());
    } else if (expression instanceof BooleanValue flag) {
      return Value.of(flag.getValue());
    } else if (expression instanceof NullValue) {
      return Value.NULL;
    } else if (expression instanceof SignedExpression signed) {
      return signed(signed);
    } else if (expression instanceof Column column && isTruthValue(column)) {
      return Value.of(Boolean.parseBoolean(column.getColumnName()));
    }
    throw SyntaxErrors.invalid(
        "a constant is needed, but found "
            + expression
            + "; allowed are numbers, text in single quotes, TRUE, FALSE and NULL");
  }

  private static Value signed(SignedExpression signed) throws FallturnException {
    Value value = constantOf(signed.getExpression());
    if (signed.getSign() == '+' && value.isNumber()) {
      return value;
    }
    if (signed.getSign() == '-' && value.content() instanceof Long whole) {
      return Value.of(-whole);
    }
    if (signed.getSign() == '-' && value.isNumber()) {
      return Value.of(-value.asDouble());
    }
    throw SyntaxErrors.invalid("not a number: " + signed);
  }
}

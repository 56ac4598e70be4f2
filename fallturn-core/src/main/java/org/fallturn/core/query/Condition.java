package org.fallturn.core.query;

import java.util.List;

/** A condition on a row. */
public sealed interface Condition {

  /** Whether it holds for a row. */
  Truth test(Row row);

  /** Both hold. */
  record And(Condition left, Condition right) implements Condition {
    @Override
    public Truth test(Row row) {
      return left.test(row).and(right.test(row));
    }
  }

  /** At least one holds. */
  record Or(Condition left, Condition right) implements Condition {
    @Override
    public Truth test(Row row) {
      return left.test(row).or(right.test(row));
    }
  }

  /** The other one does not hold. */
  record Not(Condition condition) implements Condition {
    @Override
    public Truth test(Row row) {
      return condition.test(row).not();
    }
  }

  /** Two operands compared. */
  record Comparison(Operand left, Operator operator, Operand right) implements Condition {
    @Override
    public Truth test(Row row) {
      Value leftValue = left.valueIn(row);
      Value rightValue = right.valueIn(row);
      if (leftValue.isNull() || rightValue.isNull()) {
        return Truth.UNKNOWN;
      }
      return Truth.of(operator.accepts(leftValue.compareTo(rightValue)));
    }
  }

  /** An operand is one of several. */
  record In(Operand operand, List<Operand> choices) implements Condition {

    /** A private copy of the choices. */
    public In {
      choices = List.copyOf(choices);
    }

    @Override
    public Truth test(Row row) {
      Truth result = Truth.FALSE;
      for (Operand choice : choices) {
        result = result.or(new Comparison(operand, Operator.EQUAL, choice).test(row));
      }
      return result;
    }
  }

  /** A text matches a pattern. */
  record Like(Operand operand, LikePattern pattern) implements Condition {
    @Override
    public Truth test(Row row) {
      Value value = operand.valueIn(row);
      return value.isNull() ? Truth.UNKNOWN : Truth.of(pattern.matches(value.text()));
    }
  }

  /** An operand is NULL. */
  record IsNull(Operand operand) implements Condition {
    @Override
    public Truth test(Row row) {
      return Truth.of(operand.valueIn(row).isNull());
    }
  }

  /** Holds always or never. */
  record Constant(boolean holds) implements Condition {
    @Override
    public Truth test(Row row) {
      return Truth.of(holds);
    }
  }

  /** How two values are compared. */
  enum Operator {
    /** Equal. */
    EQUAL,
    /** Not equal. */
    NOT_EQUAL,
    /** Below. */
    LESS,
    /** Below or equal. */
    LESS_OR_EQUAL,
    /** Above. */
    GREATER,
    /** Above or equal. */
    GREATER_OR_EQUAL;

    boolean accepts(int comparison) {
      return switch (this) {
        case EQUAL -> comparison == 0;
        case NOT_EQUAL -> comparison != 0;
        case LESS -> comparison < 0;
        case LESS_OR_EQUAL -> comparison <= 0;
        case GREATER -> comparison > 0;
        default -> comparison >= 0;
      };
    }
  }
}

package org.fallturn.core.dispatch;

import org.fallturn.core.limits.BudgetState;

/**
 * One repeat that a request wanted from the retry budget of its service. Immutable.
 *
 * @param granted whether it may be sent again
 * @param late whether the request's target latency had passed, which leaves it a smaller part
 * @param budget the budget before the repeat
 */
public record RetryBudgetUse(boolean granted, boolean late, BudgetState budget) {}

package org.fallturn.core.query;

/**
 * A pattern of SQL's LIKE: {@code %} stands for any text, {@code _} for one character. Matching
 * takes time proportional to text times pattern at most.
 *
 * @param pattern the pattern
 * @param ignoreCase whether upper and lower case are the same
 */
public record LikePattern(String pattern, boolean ignoreCase) {

  private static final char ANY_TEXT = '%';
  private static final char ANY_CHARACTER = '_';

  /** Whether the whole text matches. */
  public boolean matches(String text) {
    int textIndex = 0;
    int patternIndex = 0;
    int lastAnyText = -1;
    int retryFrom = 0;
    while (textIndex < text.length()) {
      if (patternIndex < pattern.length() && pattern.charAt(patternIndex) == ANY_TEXT) {
        lastAnyText = patternIndex++;
        retryFrom = textIndex;
      } else if (patternIndex < pattern.length()
          && sameCharacter(pattern.charAt(patternIndex), text.charAt(textIndex))) {
        patternIndex++;
        textIndex++;
      } else if (lastAnyText >= 0) {
        patternIndex = lastAnyText + 1;
        textIndex = ++retryFrom;
      } else {
        return false;
      }
    }
    while (patternIndex < pattern.length() && pattern.charAt(patternIndex) == ANY_TEXT) {
      patternIndex++;
    }
    return patternIndex == pattern.length();
  }

  private boolean sameCharacter(char wanted, char actual) {
    if (wanted == ANY_CHARACTER || wanted == actual) {
      return true;
    }
    return ignoreCase && Character.toLowerCase(wanted) == Character.toLowerCase(actual);
  }
}

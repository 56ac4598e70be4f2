package org.fallturn.rehearsal.load;

import java.util.SplittableRandom;
import org.fallturn.rehearsal.DeterministicTokens;

/**
 * One request of a load before it is sent.
 *
 * @param loadClass its class
 * @param number its number in the class
 * @param content user message, or body of an application call
 */
record PlannedCall(LoadClass loadClass, long number, String content) {

  private static final int VOCABULARY = 50_000;

  /** Draws the content: the class's shared prefix, then words of its own. */
  static PlannedCall draw(LoadClass loadClass, long number, long seed) {
    SplittableRandom random = new SplittableRandom(seed * 31 + number);
    DeterministicTokens prefix = new DeterministicTokens("prefix of " + loadClass.name());
    DeterministicTokens words = new DeterministicTokens(loadClass.name() + " words");
    StringBuilder content = new StringBuilder(loadClass.name());
    int shared = Math.min(loadClass.sharedPrefixWords(), loadClass.promptWords());
    for (int index = 0; index < shared; index++) {
      content.append(prefix.token(index));
    }
    for (int index = shared; index < loadClass.promptWords(); index++) {
      content.append(words.token(random.nextInt(VOCABULARY)));
    }
    content.append(" number ").append(seed).append('-').append(number);
    return new PlannedCall(loadClass, number, content.toString());
  }

  /** Key of the business action, unique to the call. */
  String key() {
    return loadClass.keyPrefix() + "-" + number;
  }
}

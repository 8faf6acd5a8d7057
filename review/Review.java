import java.nio.file.Path;

/**
 * Runs one case: `Review CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class Review {
    private static final long LIMIT_MILLIS = 114_000;

    private Review() { }

    /** One case, which ends the process by itself. */
    private interface Case {
        void run(Path folder) throws Exception;
    }

    public static void main(String[] arguments) {
        Background.after(LIMIT_MILLIS, () -> {
            System.out.println("could not run: it took too long");
            System.exit(2);
        });
        try {
            byName(arguments[0]).run(Path.of(arguments[1]));
        } catch (Throwable failure) {
            failure.printStackTrace();
            System.exit(2);
        }
    }

    private static Case byName(String name) {
        return switch (name) {
            case "ReleaseAndKill" -> ReleaseAndKill::run;
            case "StopInTransaction" -> StopInTransaction::run;
            case "KeyInTransaction" -> KeyInTransaction::run;
            case "SlowPromotion" -> SlowPromotion::run;
            default -> throw new IllegalArgumentException(name);
        };
    }
}

package dev.cardamomlane.core.sql

/** The words and function names that decide the kind of a statement. */
internal object SqlWords {
    val readVerbs = setOf("select", "values", "table", "with")
    val cursorVerbs = setOf("declare", "fetch", "move", "close")
    val dataChanges = setOf("insert", "update", "delete", "merge")

    /** The first words of the statements that EXPLAIN accepts. */
    val explainedVerbs = readVerbs + dataChanges + setOf("create", "refresh", "declare", "execute")

    /** The first words of unsupported statements, each with its [StatementFacts.unsupportedReason]. */
    val unsupportedVerbs =
        mapOf(
            "listen" to "LISTEN binds a connection to one caller",
            "unlisten" to "UNLISTEN binds a connection to one caller",
            "notify" to "NOTIFY needs listening connections",
            "copy" to "COPY",
            "prepare" to "PREPARE by SQL; use the protocol's prepared statements",
            "execute" to "EXECUTE by SQL; use the protocol's prepared statements",
            "deallocate" to "DEALLOCATE by SQL; use the protocol's prepared statements",
            "discard" to "DISCARD resets a connection that callers share",
            "load" to "LOAD changes a connection that callers share",
            "do" to "DO runs code that could change a connection that callers share",
        )

    private const val SESSION_LOCK = "session advisory locks; use pg_advisory_xact_lock"
    private const val TARGET_CONTROL = "functions that control targets"
    private const val SEQUENCE_STATE = "the sequence state of a session; use RETURNING"

    /** The functions that make a statement unsupported, each with its [StatementFacts.unsupportedReason]. */
    val unsupportedFunctions =
        mapOf(
            "pg_advisory_lock" to SESSION_LOCK,
            "pg_advisory_lock_shared" to SESSION_LOCK,
            "pg_try_advisory_lock" to SESSION_LOCK,
            "pg_try_advisory_lock_shared" to SESSION_LOCK,
            "pg_advisory_unlock" to SESSION_LOCK,
            "pg_advisory_unlock_shared" to SESSION_LOCK,
            "pg_advisory_unlock_all" to SESSION_LOCK,
            "set_config" to "set_config; use SET",
            "setseed" to "setseed changes a connection that callers share",
            "pg_notify" to "pg_notify needs listening connections",
            "currval" to SEQUENCE_STATE,
            "lastval" to SEQUENCE_STATE,
            "cardamomlane_fence" to TARGET_CONTROL,
            "cardamomlane_promote" to TARGET_CONTROL,
            "cardamomlane_follow" to TARGET_CONTROL,
        )

    /** Keywords and type names that may stand before a parenthesis without being a function. */
    private val syntaxBeforeParenthesis =
        words(
            "all and any array as between by case cast conflict cross cube distinct else end escape except exclude exists",
            "extract filter from group grouping having ilike in inner intersect into is join lateral left like limit",
            "materialized natural not of offset on only or outer over overlay partition position recursive returning",
            "right rollup row rows select set sets similar some substring table then to trim union using values when",
            "where window with within",
            "bit char character decimal dec float interval nchar numeric precision time timestamp timestamptz timetz",
            "varbit varchar varying",
        )

    /** Built-in functions that change nothing, whether they run on a primary or on a replica. */
    private val readOnlyFunctions =
        words(
            "abs acos age array_agg array_append array_cat array_length array_position array_prepend array_remove",
            "array_to_json array_to_string array_upper asin atan atan2 avg bit_and bit_or bit_length bool_and bool_or",
            "btrim cardinality cbrt ceil ceiling char_length character_length chr coalesce concat concat_ws convert_from",
            "convert_to corr cos count covar_pop covar_samp cume_dist current_catalog current_database current_schema",
            "current_schemas current_setting current_timestamp current_date current_time date_bin date_part date_trunc",
            "decode degrees dense_rank div encode every exp first_value floor format format_type gen_random_uuid",
            "generate_series generate_subscripts greatest has_table_privilege initcap isfinite json_agg",
            "json_array_elements json_array_length json_build_array json_build_object json_each json_extract_path",
            "json_object json_object_agg json_typeof jsonb_agg jsonb_array_elements jsonb_array_length jsonb_build_array",
            "jsonb_build_object jsonb_each jsonb_extract_path jsonb_object_agg jsonb_path_exists jsonb_path_query",
            "jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_typeof justify_days lag last_value lead least length ln",
            "localtime localtimestamp log lower lpad ltrim make_date make_interval make_time make_timestamp",
            "make_timestamptz max md5 min mod mode now nth_value ntile nullif num_nonnulls num_nulls octet_length",
            "percent_rank percentile_cont percentile_disc pg_backend_pid pg_get_expr pg_get_indexdef",
            "pg_get_constraintdef pg_get_keywords pg_is_in_recovery pg_sleep pg_table_is_visible pg_typeof pi",
            "plainto_tsquery power quote_ident quote_literal quote_nullable radians random rank regexp_match",
            "regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table repeat replace reverse round",
            "row_number row_to_json rpad rtrim sha224 sha256 sha384 sha512 sign sin split_part sqrt starts_with",
            "statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array string_to_table strpos substr",
            "sum tan text to_char to_date to_json to_jsonb to_number to_timestamp to_tsquery to_tsvector",
            "transaction_timestamp translate trunc ts_headline ts_rank unnest upper var_pop var_samp variance version",
            "websearch_to_tsquery width_bucket xmlagg clock_timestamp",
        )

    /**
     * Returns whether [name] before a parenthesis is known to change nothing. A quoted identifier always counts as the
     * name of a function.
     */
    fun isReadOnlyBeforeParenthesis(name: SqlToken): Boolean =
        name.text in readOnlyFunctions || (name.kind == SqlToken.Kind.WORD && name.text in syntaxBeforeParenthesis)

    private fun words(vararg lines: String): Set<String> = lines.flatMapTo(HashSet()) { it.split(' ') }
}
